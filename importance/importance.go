// Package importance orders requests by their value to the users.
package importance

import "fmt"

// Importance is the importance of a request. Under overload, requests of greater
// importance are shed later. It is declared for each operation in the graph text. Every
// call made for a request carries the importance of the request, so that all its calls
// are treated alike.
type Importance uint8

// The importances, in increasing order.
const (
	Low Importance = iota
	Normal
	High
	Critical
)

// Count is the number of importances.
const Count = 4

var names = [Count]string{"low", "normal", "high", "critical"}

// String returns the name used in the graph text and in headers.
func (i Importance) String() string {
	if int(i) >= Count {
		return fmt.Sprintf("importance(%d)", uint8(i))
	}
	return names[i]
}

// Parse returns the importance with the given name, as written by String.
func Parse(s string) (Importance, error) {
	for i, name := range names {
		if s == name {
			return Importance(i), nil
		}
	}
	return Low, fmt.Errorf("importance %q: want low, normal, high or critical", s)
}
