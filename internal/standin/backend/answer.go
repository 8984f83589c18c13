package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
)

// Answer is the body of every complete answer. Children carry the answers of
// the calls that were made for it, in the order in which they are declared.
type Answer struct {
	Service    string   `json:"service"`
	Operation  string   `json:"operation"`
	RequestID  string   `json:"request_id"`
	Boot       string   `json:"boot"`
	BodySHA256 string   `json:"body_sha256"`
	Children   []Answer `json:"children,omitempty"`
}

// errForeign says that an answer belongs to another request.
var errForeign = errors.New("answer of another request")

// Verify reports whether the answer is the one to a request with this body
// and, if requestID is not empty, this id, through the whole chain.
func (a *Answer) Verify(service, operation, requestID string, body []byte) error {
	if a.Service != service || a.Operation != operation {
		return fmt.Errorf("%w: of %s.%s, want %s.%s", errForeign, a.Service, a.Operation, service, operation)
	}
	return a.verifyContent(requestID, hashBody(body))
}

func (a *Answer) verifyContent(requestID, sum string) error {
	if a.BodySHA256 != sum {
		return fmt.Errorf("%w: %s.%s saw another body", errForeign, a.Service, a.Operation)
	}
	if requestID != "" && a.RequestID != requestID {
		return fmt.Errorf("%w: %s.%s saw request id %q, want %q", errForeign, a.Service, a.Operation, a.RequestID, requestID)
	}
	for i := range a.Children {
		if err := a.Children[i].verifyContent(requestID, sum); err != nil {
			return err
		}
	}
	return nil
}

// Calls returns the number of answers in the tree, its own included.
func (a *Answer) Calls() int {
	n := 1
	for i := range a.Children {
		n += a.Children[i].Calls()
	}
	return n
}

func hashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
