package local

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/verdict"
)

// fakeNode records the calls and announcements that it receives.
type fakeNode struct {
	token    string
	in       entry.Incoming
	received []string
	err      error
}

func (n *fakeNode) Call(_ context.Context, token string, in entry.Incoming) call.Outcome {
	n.token, n.in = token, in
	if token != "known" {
		return call.OutcomeOf(verdict.Refuse(verdict.BadRequest, "no call with this token is running"))
	}
	return call.Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte("ok")}
}

func (n *fakeNode) Announce(_ time.Time, url, state, boot string) error {
	n.received = append(n.received, "announce "+url+" "+state+" "+boot)
	return n.err
}

func (n *fakeNode) Leave(boot string) { n.received = append(n.received, "leave "+boot) }

func post(n *fakeNode, path, body string, tokens ...string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header["Cassialoom-Call"] = tokens
	New(entry.DefaultConfig(), n, n).ServeHTTP(w, r)
	return w
}

func TestCallRequiresOneKnownToken(t *testing.T) {
	is := is.New(t)
	n := &fakeNode{}
	w := post(n, "/call/stationlog/history?since=1", "body", "known")
	is.Equal(w.Code, 200)
	is.Equal(w.Body.String(), "ok")
	is.Equal(n.token, "known")
	is.Equal(n.in.Service+"."+n.in.Operation+"?"+n.in.Query, "stationlog.history?since=1")
	is.Equal(string(n.in.Body), "body")

	for _, tokens := range [][]string{nil, {""}, {"known", "known"}, {"other"}} {
		w = post(n, "/call/s/o", "body", tokens...)
		is.Equal(w.Code, 400)
		is.Equal(w.Header().Get("Cassialoom-Verdict"), "not run")
	}
	is.Equal(n.token, "other") // a token given twice is never looked up
}

func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	n := &fakeNode{}
	is.Equal(post(n, "/backend/announce", `{"url":"http://127.0.0.1:1","state":"ready","boot":"b"}`).Code, 204)
	is.Equal(post(n, "/backend/leave", `{"boot":"b"}`).Code, 204)
	is.Equal(n.received, []string{"announce http://127.0.0.1:1 ready b", "leave b"})

	n = &fakeNode{err: errors.New("url: want another")}
	w := post(n, "/backend/announce", `{"url":"x","state":"ready","boot":"b"}`)
	is.Equal(w.Code, 400)
	is.True(strings.Contains(w.Body.String(), "want another")) // the backend server can log the reason

	n = &fakeNode{}
	for _, body := range []string{"", "{", `{"boots":"b"}`, `{"boot":1}`, `"` + strings.Repeat("x", maxAnnouncementBytes) + `"`} {
		for _, path := range []string{"/backend/announce", "/backend/leave"} {
			is.True(post(n, path, body).Code >= 400)
		}
	}
	is.Equal(len(n.received), 0)
}
