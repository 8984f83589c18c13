package daemon

import (
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
	"status 000 before the answer":     standin.InvalidStatus,
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
