package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// The workspaces: one without a quota, and one that sends many times its own. Each version
// gives the first another key beside its own, which the next version takes away.
const (
	calmKey  = "calm"
	hotKey   = "hot"
	hotRate  = 5
	hotBurst = 5
)

const (
	// hotShare of the requests are of the workspace with a quota, oldShare bear a key of one
	// of the latest versions.
	hotShare = 0.15
	oldShare = 0.1
	// oldVersions is how many versions back such keys come from.
	oldVersions = 5
)

// versionKey is the key that one version alone has.
func versionKey(version uint64) string { return "v" + strconv.FormatUint(version, 10) }

func workspaces(version uint64) []standin.Workspace {
	return []standin.Workspace{
		{Name: "calm", Keys: []string{calmKey, versionKey(version)}},
		{Name: "hot", Keys: []string{hotKey}, Rate: hotRate, Burst: hotBurst},
	}
}

// credential is the key that a request bears.
type credential struct {
	key string
	// version is the one that has the key, zero if all have.
	version uint64
}

// credential draws the key of a request.
func (w *world) credential(rng *rand.Rand) credential {
	switch chance := rng.Float64(); {
	case chance < hotShare:
		return credential{key: hotKey}
	case chance < hotShare+oldShare:
		newest := w.newest().version
		version := newest - min(newest-1, rng.Uint64N(oldVersions+1))
		return credential{key: versionKey(version), version: version}
	}
	return credential{key: calmKey}
}

// judgeKeys finds requests that ran though their key had been taken away for longer than
// the bound when they were sent.
func judgeKeys(all []told, j *standin.RunLog, taken map[uint64]time.Time) []Broken {
	var out []Broken
	for _, t := range all {
		since, gone := taken[t.With.version]
		if t.With.version == 0 || !gone || len(j.Runs(t.ID)) == 0 {
			continue
		}
		if late := t.Sent.Sub(since); late > standin.RevokeWithin {
			out = append(out, Broken{Promise: "a key that was taken away is not served beyond its bound",
				What: fmt.Sprintf("%s was taken away %v before", t.With.key, late.Round(time.Millisecond)), ID: t.ID})
		}
	}
	return out
}

// judgeQuota finds a window in which more of the hot workspace's requests ran than may.
func judgeQuota(all []told, j *standin.RunLog) []Broken {
	var runs []time.Time
	for _, t := range all {
		if at, ran := j.FirstRun(t.ID); ran && t.With.key == hotKey {
			runs = append(runs, at)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	limit := int((hotRate*standin.QuotaWindow.Seconds()+hotBurst)*(1+standin.QuotaOverage) + standin.QuotaSlack)
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= standin.QuotaWindow {
			first++
		}
		if n := i - first + 1; n > limit {
			return []Broken{{Promise: "a workspace keeps within its quota over all nodes", What: fmt.Sprintf("%d in a window, %d may be", n, limit)}}
		}
	}
	return nil
}
