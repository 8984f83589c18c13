// Package importance orders requests by what they are worth to the users.
package importance

import "fmt"

// Importance of a request; a greater one is shed later. It is declared for
// each operation in the graph text; every call made for a request carries the
// importance of the request, so that all its calls fare alike.
type Importance uint8

// The four levels.
const (
	Low Importance = iota
	Normal
	High
	Critical
)

// Count is the number of levels.
const Count = 4

var names = [Count]string{"low", "normal", "high", "critical"}

// String returns the name used in the graph text and in headers.
func (i Importance) String() string {
	if int(i) >= Count {
		return fmt.Sprintf("importance(%d)", uint8(i))
	}
	return names[i]
}

// Parse reads a name as String writes it.
func Parse(s string) (Importance, error) {
	for i, name := range names {
		if s == name {
			return Importance(i), nil
		}
	}
	return Low, fmt.Errorf("importance %q: want low, normal, high or critical", s)
}
