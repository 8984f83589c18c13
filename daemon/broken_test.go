package daemon

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// brokenAnswers are the answers that no caller may get.
var brokenAnswers = map[string]standin.BrokenAnswer{
	"without a length, cut by a reset": standin.CutByReset,
	"status 000":                       standin.InvalidStatus,
	"status 000 before the answer":     standin.InvalidInterim,
	"control byte in a field's name":   standin.ControlByte,
	"blank after a field's name":       standin.InvalidField,
	"chunks in version 1.0":            standin.AmbiguousLength,
	"blank in a trailer's name":        standin.InvalidTrailer,
}

// Guards against a broken answer of a backend server that reaches a caller, whole or in parts, and
// against a promise that its request has not run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	s := newSite(t)
	m, target := s.addServed("deep")
	long := make([]byte, 1<<20)
	for name, kind := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target.SetFaults(standin.TargetFaults{Broken: 1, BrokenBy: kind})
			defer target.SetFaults(standin.TargetFaults{})
			for i := range 20 {
				id := "b" + strconv.Itoa(int(kind)) + "." + strconv.Itoa(i)
				a := standin.SendRequest(t.Context(), s.client, m, standin.Request{
					Method: http.MethodPost, Host: siteHost, Path: "/deep/x", ID: id, Body: long, Timeout: 4 * time.Second,
				})
				is.Equal(a.Status, http.StatusBadGateway)
				is.Equal(a.Signature, "")
				is.Equal(len(s.journal.Runs(id)), 1)
			}
		})
	}
}

// Guards against sound answers that are given up with the broken ones: before a long request has been
// read, and without a length.
func TestSoundAnswersReachTheirCallers(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	m, target := s.addServed("deep")
	for _, faults := range []standin.TargetFaults{{}, {Unframed: true}} {
		target.SetFaults(faults)
		for _, size := range []int{0, 100, 20 << 10, 1 << 20} {
			for i := range 5 {
				id := fmt.Sprintf("s%v.%d.%d", faults.Unframed, size, i)
				a := standin.SendRequest(t.Context(), s.client, m, standin.Request{
					Method: http.MethodPost, Host: siteHost, Path: "/deep/x", ID: id, Body: make([]byte, size), Timeout: 4 * time.Second,
				})
				is.Equal(a.Status, http.StatusOK)
				is.Equal(a.Body, standin.Body(id, "/deep/x"))
				is.Equal(a.Signature, standin.Sign(id, "/deep/x"))
			}
		}
	}
}
