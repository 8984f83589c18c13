package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/platform/standin"
)

// The workspaces: calm has no quota, hot sends many times its quota. Each version gives
// calm a second key, which the next version revokes.
const (
	calmKey  = "calm"
	hotKey   = "hot"
	hotRate  = 5
	hotBurst = 5
)

const (
	// hotShare is the share of requests with the key of the hot workspace, and
	// versionKeyShare of those with the key of one of the latest versions.
	hotShare        = 0.15
	versionKeyShare = 0.1
	// maxVersionsBack is the largest age of such a key, in versions.
	maxVersionsBack = 5
)

// versionKey returns the key that only this version has.
func versionKey(version uint64) string { return "v" + strconv.FormatUint(version, 10) }

func workspaces(version uint64) []standin.Workspace {
	return []standin.Workspace{
		{Name: "calm", Keys: []string{calmKey, versionKey(version)}},
		{Name: "hot", Keys: []string{hotKey}, Rate: hotRate, Burst: hotBurst},
	}
}

// credential is the key that a request carries.
type credential struct {
	key string
	// version is the only one that has the key; zero if all versions have it.
	version uint64
}

// credential draws the credential of a request.
func (e *env) credential(rng *rand.Rand) credential {
	switch chance := rng.Float64(); {
	case chance < hotShare:
		return credential{key: hotKey}
	case chance < hotShare+versionKeyShare:
		newestVersion := e.newestVersion().version
		version := newestVersion - min(newestVersion-1, rng.Uint64N(maxVersionsBack+1))
		return credential{key: versionKey(version), version: version}
	}
	return credential{key: calmKey}
}

// checkRevokedKeys finds requests that ran although their key had been revoked for longer
// than standin.RevokeWithin when they were sent.
func checkRevokedKeys(exchanges []exchange, j *standin.RunLog, revoked map[uint64]time.Time) []Broken {
	var out []Broken
	for _, t := range exchanges {
		since, ok := revoked[t.Credential.version]
		if t.Credential.version == 0 || !ok || len(j.Runs(t.ID)) == 0 {
			continue
		}
		if age := t.Sent.Sub(since); age > standin.RevokeWithin {
			out = append(out, Broken{Promise: "a revoked key is not served after the bound",
				What: fmt.Sprintf("%s was revoked %v before the request was sent", t.Credential.key, age.Round(time.Millisecond)), ID: t.ID})
		}
	}
	return out
}

// checkQuota finds a window in which more requests of the hot workspace ran than its
// quota and the allowed excess permit.
func checkQuota(exchanges []exchange, j *standin.RunLog) []Broken {
	var runs []time.Time
	for _, t := range exchanges {
		if at, ran := j.FirstRun(t.ID); ran && t.Credential.key == hotKey {
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
			return []Broken{{Promise: "a workspace stays within its quota over all nodes", What: fmt.Sprintf("%d requests ran in a window, the limit is %d", n, limit)}}
		}
	}
	return nil
}
