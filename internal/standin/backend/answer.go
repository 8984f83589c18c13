package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
)

// Answer is the body of every complete answer. Children holds the answers to the calls
// that were made for it, in the declared order.
type Answer struct {
	Service    string   `json:"service"`
	Operation  string   `json:"operation"`
	RequestID  string   `json:"request_id"`
	Boot       string   `json:"boot"`
	BodySHA256 string   `json:"body_sha256"`
	Children   []Answer `json:"children,omitempty"`
}

// errWrongAnswer is the error for an answer that belongs to another request.
var errWrongAnswer = errors.New("answer to another request")

// Verify checks that the answer and all of its children are those to a request with this
// body. An empty requestID is not checked.
func (a *Answer) Verify(service, operation, requestID string, body []byte) error {
	if a.Service != service || a.Operation != operation {
		return fmt.Errorf("%w: from %s.%s, want %s.%s", errWrongAnswer, a.Service, a.Operation, service, operation)
	}
	return a.verifyContent(requestID, hashBody(body))
}

func (a *Answer) verifyContent(requestID, sum string) error {
	if a.BodySHA256 != sum {
		return fmt.Errorf("%w: %s.%s received another body", errWrongAnswer, a.Service, a.Operation)
	}
	if requestID != "" && a.RequestID != requestID {
		return fmt.Errorf("%w: %s.%s received request ID %q, want %q", errWrongAnswer, a.Service, a.Operation, a.RequestID, requestID)
	}
	for i := range a.Children {
		if err := a.Children[i].verifyContent(requestID, sum); err != nil {
			return err
		}
	}
	return nil
}

// Calls returns the number of answers in the tree, including this one.
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
