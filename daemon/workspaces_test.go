package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// publishWorkspaces publishes routes whose requests need the key of a workspace.
func (s *site) publishWorkspaces(version uint64, workspaces ...standin.Workspace) {
	list := []standin.Route{{Name: "to-top", Host: siteHost, Prefix: "/top/", Service: "top", Idempotent: true}}
	text, err := standin.ManifestText(version, list, workspaces...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.PublishManifest(text)
}

// askWithKey sends a request with a key and returns the status.
func (s *site) askWithKey(m standin.Machine, key, id string) (status int) {
	return s.answerTo(m, key, id).Status
}

// answerTo sends a request with a key and returns the answer.
func (s *site) answerTo(m standin.Machine, key, id string) standin.Answer {
	return standin.SendRequest(s.t.Context(), s.client, m, standin.Request{
		Method: http.MethodGet, Host: siteHost, Path: "/top/x", ID: id, Key: key, Timeout: 4 * time.Second,
	})
}

// Guards against serving unknown keys, and against serving a revoked key after the
// time limit while the store, which would report the revocation, is unavailable.
func TestPlatformKeys(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	north := standin.Workspace{Name: "north", Keys: []string{"key-n"}}
	south := standin.Workspace{Name: "south", Keys: []string{"key-s"}}
	s.publishWorkspaces(2, north, south)
	a, _ := s.addMachine(1, "top", "")
	b, _ := s.addMachine(2, "top", "")
	for i, m := range []standin.Machine{a, b} {
		s.await("served through "+m.Name, func() bool { return s.askWithKey(m, "key-n", fmt.Sprint("warm", i)) == 200 })
	}
	is.Equal(s.askWithKey(a, "key-s", "r1"), 200)
	is.Equal(s.journal.Sender("r1"), standin.Sender{Workspace: "south"})
	is.Equal(s.askWithKey(a, "", "r2"), 401)
	is.Equal(s.askWithKey(b, "key-x", "r3"), 401)
	is.Equal(len(s.journal.Runs("r2"))+len(s.journal.Runs("r3")), 0)

	s.store.SetFault(standin.Silent)
	s.publishWorkspaces(3, north)
	revoked := time.Now()
	for i := 0; time.Since(revoked) < 2*standin.RevokeWithin; i++ {
		sent := time.Now()
		id := fmt.Sprint("late", i)
		status := s.askWithKey(a, "key-s", id)
		if sent.Sub(revoked) > standin.RevokeWithin && (status != 503 || len(s.journal.Runs(id)) > 0) {
			t.Fatalf("a key that was revoked %s before got status %d, runs %v", sent.Sub(revoked), status, s.journal.Runs(id))
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.store.SetFault(standin.NoFault)
	s.await("the other key is served again", func() bool { return s.askWithKey(a, "key-n", "back") == 200 })
	is.Equal(s.askWithKey(a, "key-s", "r4"), 401)
}

// Guards against a workspace that exceeds its quota by sending through two nodes.
func TestPlatformQuota(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.publishWorkspaces(2, standin.Workspace{Name: "north", Keys: []string{"key-n"}, Rate: 10, Burst: 10})
	a, _ := s.addMachine(1, "top", "")
	b, _ := s.addMachine(2, "top", "")
	machines := []standin.Machine{a, b}
	for i, m := range machines {
		s.await("served through "+m.Name, func() bool { return s.askWithKey(m, "key-n", fmt.Sprint("warm", i)) == 200 })
	}
	time.Sleep(time.Second)
	begin := time.Now()
	served, refused := 0, 0
	for i := 0; time.Since(begin) < 4*time.Second; i++ {
		id := fmt.Sprint("r", i)
		switch a := s.answerTo(machines[i%2], "key-n", id); a.Status {
		case 200:
			served++
		case 429, 503: // over the quota, or the quota's owner did not answer in time
			refused++
			is.Equal(len(s.journal.Runs(id)), 0)
		default:
			t.Fatalf("request %s: status %d, %s", id, a.Status, a.Body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(refused > 0)
	is.True(served > 0)
	is.True(served <= (5*10+10)*11/10+20) // a window of five seconds
}
