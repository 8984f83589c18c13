package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// edit replaces one text of a source file for a build.
type edit struct{ file, from, to string }

// faultyBuilds are builds of the node that each break one promise on purpose. The soak
// must find each violation.
var faultyBuilds = []struct {
	name    string
	edits   []edit
	faults  []string // the faults that expose it; no others are injected
	promise string   // part of the promise's text
}{
	{
		name:    "a request that may have run is sent again, idempotent or not",
		edits:   []edit{{"dispatch/attempts.go", "return a.idempotent || a.keyed", "return true"}},
		faults:  []string{"lose answers", "kill the node"},
		promise: "at most once",
	},
	{
		name:    "a request whose answer is lost is reported as not run",
		edits:   []edit{{"platform/callers.go", "if out.Verdict != verdict.NotRun {", "if out.Verdict == verdict.Ran {"}},
		faults:  []string{"lose answers", "kill the node"},
		promise: "reported as not run",
	},
	{
		name: "an answer to another request is accepted",
		edits: []edit{
			{"platform/dialect.go", "return backend.Stray, 0", "return backend.Answered, 0"},
		},
		faults:  []string{"send second answers"},
		promise: "whole answer",
	},
	{
		name:    "a connection carries a request that was declined on it once more",
		edits:   []edit{{"backend/conn.go", "return !slices.Contains(c.carried, xxhash.Sum64String(requestID))", "return true"}},
		faults:  []string{"backend server declines and sends second answers"},
		promise: "reported as not run",
	},
	{
		name:    "a leaving backend server stays in use",
		edits:   []edit{{"node/incarnations.go", "ready:       !b.Draining,", "ready: true,"}},
		faults:  []string{"replace the backend server"},
		promise: "gets no work for long",
	},
	{
		name: "the rate limit of a backend server is ignored",
		edits: []edit{
			{"limit/rate.go", "return !r.named || r.tokens >= 1", "return true"},
			{"serve/rate.go", "return s.rate.Wait(now, 1) > maxRateWait", "return false"},
		},
		faults:  []string{"backend server names a rate limit"},
		promise: "than it says it takes",
	},
	{
		name:    "a leaving in answers alone is ignored",
		edits:   []edit{{"node/notice.go", "if res.Notice.Leaving {", "if false {"}},
		faults:  []string{"backend server leaves by its answers"},
		promise: "says it is leaving",
	},
	{
		name: "a planned stop never ends",
		edits: []edit{
			{"node/stop.go", "for !n.idle() {", "for true {"},
			{"daemon/platform_config.go", "stopShare = 0.95", "stopShare = 95"},
		},
		faults:  []string{"stop the node as planned"},
		promise: "planned stop ends",
	},
	{
		name: "a new backend incarnation is not accepted",
		edits: []edit{
			{"node/incarnations.go", "if s.hasEnded(b.Start) || b.Start.Born < s.latestBorn {", "if s.hasEnded(b.Start) || !sameIncarnation(known, b) && known.start.ID != \"\" {"},
		},
		faults:  []string{"crash the backend server"},
		promise: "recovers",
	},
	{
		name:    "a node without a freshness proof keeps serving",
		edits:   []edit{{"node/proofs.go", "return !q.proofWithin(now, proofReadShare),", "return false,"}},
		faults:  []string{"kill the node"},
		promise: "in force in time",
	},
	{
		name:    "a revoked key is served",
		edits:   []edit{{"node/authorize.go", "if !known && !route.NoKeyRequired {", "if !known && false {"}},
		faults:  []string{"publish routes"},
		promise: "revoked key",
	},
	{
		name:    "answers overtake those before them on their connection",
		edits:   []edit{{"pipeline/line.go", "for n < len(l.waiting) && l.waiting[n].finished {", "for n < len(l.waiting) {"}},
		faults:  []string{"kill the node"},
		promise: "whole answer",
	},
	{
		name:    "nodes do not enforce a quota",
		edits:   []edit{{"node/authorize.go", "if !u.workspace.Quota.Limited() ||", "if true ||"}},
		faults:  []string{"kill the node"},
		promise: "within its quota",
	},
	{
		name:    "a suspect runs like any other request",
		edits:   []edit{{"poison/guard.go", "		return Isolated\n", "		return Normal\n"}},
		faults:  []string{crashingRequests},
		promise: "on and on",
	},
	{
		name:    "an answer with a line that is no field is accepted",
		edits:   []edit{{"framing/reader.go", "valid := found && headers.Valid(name, value)", "valid := found || headers.Valid(name, value)"}},
		faults:  []string{"backend server sends broken answers"},
		promise: "whole answer",
	},
}

// Guards against a soak that misses a broken promise.
func TestFaultyBuildsAreFound(t *testing.T) {
	if os.Getenv("PROVE") == "" {
		t.Skip("takes minutes with real processes; runs only with PROVE=1")
	}
	for i, broken := range faultyBuilds {
		t.Run(broken.name, func(t *testing.T) {
			is := is.New(t)
			res, err := Run(t.Context(), Config{Seed: 1, Faults: 15 * time.Second, Only: broken.faults, Bin: buildEdited(t, broken.edits),
				Machines: 6, Clients: 4, Net: 90 + i, Say: func(string, ...any) {}})
			is.NoErr(err)
			t.Logf("%d promises broken in %d requests, such as %v", len(res.Broken), res.Requests, res.Broken[:min(1, len(res.Broken))])
			is.True(slices.ContainsFunc(res.Broken, func(b Broken) bool { return strings.Contains(b.Promise, broken.promise) }))
			is.NoErr(os.RemoveAll(res.Logs))
		})
	}
}

// buildEdited builds cassialoomd with edited sources and returns the folder of the binary.
func buildEdited(t *testing.T, edits []edit) (bin string) {
	t.Helper()
	is := is.New(t)
	bin = t.TempDir()
	replace := make(map[string]string)
	for i, e := range edits {
		path, err := filepath.Abs(filepath.Join("..", "..", e.file))
		is.NoErr(err)
		text, err := os.ReadFile(path)
		is.NoErr(err)
		is.Equal(strings.Count(string(text), e.from), 1) // else the source has changed: adapt the edit
		replace[path] = filepath.Join(bin, string(rune('a'+i))+".go")
		is.NoErr(os.WriteFile(replace[path], []byte(strings.Replace(string(text), e.from, e.to, 1)), 0o600))
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	is.NoErr(err)
	list := filepath.Join(bin, "overlay.json")
	is.NoErr(os.WriteFile(list, overlay, 0o600))
	out, err := exec.Command("go", "build", "-overlay", list, "-o", filepath.Join(bin, "cassialoomd"), "../../cmd/cassialoomd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}
