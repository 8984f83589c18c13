package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestConfigurationWithoutProofIsNotFresh(t *testing.T) {
	is := is.New(t)
	var k ProofTracker
	k.SetInForce(3)
	is.True(!k.Fresh(at(0), time.Hour))
	_, known := k.CurrentProof()
	is.True(!known)
}

// Guards against accepting a proof of version 4 for version 3, and against
// dropping it before version 4 is in force.
func TestProofOfNewerVersionWaitsForTheVersion(t *testing.T) {
	is := is.New(t)
	var k ProofTracker
	k.SetInForce(3)
	k.AddProof(Proof{Version: 3, At: at(0)})
	k.AddProof(Proof{Version: 4, At: at(5)})
	is.True(!k.Fresh(at(5), 4*time.Second))
	k.SetInForce(4)
	is.True(k.Fresh(at(5), 4*time.Second))
}

func TestOlderProofChangesNothing(t *testing.T) {
	is := is.New(t)
	var k ProofTracker
	k.SetInForce(3)
	k.AddProof(Proof{Version: 3, At: at(4)})
	k.AddProof(Proof{Version: 2, At: at(1)})
	age, known := k.Age(at(5))
	is.True(known)
	is.Equal(age, time.Second)
}

// Guards against a node that is fresh but lacks a version older than the
// bound, with proofs and versions arriving late, reordered or repeated.
func TestFreshConfigurationHasAllOlderVersions(t *testing.T) {
	const bound = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var published []time.Time // publication time of version i+1
		var nodes [3]ProofTracker
		type message struct {
			proof Proof
			to    int
		}
		var inTransit []message
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				published = append(published, now)
			case 1: // a read of the store that is answered at once or later
				inTransit = append(inTransit, message{Proof{uint64(len(published)), now}, i})
			case 2: // a proof sent to another node
				if p, ok := nodes[i].CurrentProof(); ok {
					inTransit = append(inTransit, message{p, (i + 1) % 3})
				}
			case 3:
				if len(inTransit) > 0 {
					m := inTransit[rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")]
					nodes[m.to].AddProof(m.proof)
				}
			case 4:
				nodes[i].SetInForce(uint64(rapid.IntRange(0, len(published)).Draw(t, "version")))
			}
			for j := range nodes {
				if !nodes[j].Fresh(now, bound) {
					continue
				}
				for v, when := range published {
					if now.Sub(when) > bound && nodes[j].inForce < uint64(v+1) {
						t.Fatalf("node %d is fresh with version %d; %d is %s old", j, nodes[j].inForce, v+1, now.Sub(when))
					}
				}
			}
		}
	})
}
