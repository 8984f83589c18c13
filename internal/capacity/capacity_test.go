package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bounds that hold at every size, because the protocols don't depend on it.
const (
	smallFleet     = 120
	idleBytesBound = 100    // per second and node
	busyBytesBound = 25_000 // bytes per second of the busiest node, over ten seconds
	appendsBound   = 20     // per second, all nodes
)

func startSmallFleet(t *testing.T) *Sim {
	s := New(DefaultConfig())
	s.StartFleet(smallFleet)
	s.Run(settleTime)
	return s
}

// Guards against constant traffic of an idle fleet, and against slow detection of a death,
// a join or a drain.
func TestIdleFleetAndSingleEventsStayWithinBounds(t *testing.T) {
	is := is.New(t)
	s := startSmallFleet(t)
	idle := s.MeasureIdle(30 * time.Second)
	is.True(idle.PerNodeSecond(idle.Bytes) < idleBytesBound)
	is.True(idle.MaxConnections < smallFleet)
	n := s.Nodes[5]
	d := s.MeasureDeath(n)
	is.True(d.OutOfService < 10*time.Second)
	is.True(d.Dead < 20*time.Second)
	j := s.MeasureJoin(n)
	is.True(j.Known > 0 && j.Known < 5*time.Second)
	is.True(s.MeasureDrain(s.Nodes[6]) < 3*time.Second)
}

// Guards against views that stay wrong after faults of many nodes, and against floods of
// messages or log appends while they recover.
func TestFaultsOfManyNodesStayWithinBounds(t *testing.T) {
	faults := []struct {
		name string
		hit  func(*Sim) FaultResult
	}{
		{"switch", (*Sim).LoseSwitch},
		{"data centre", (*Sim).LoseDataCentre},
		{"regions heal", func(s *Sim) FaultResult { _, after := s.PartitionRegion(); return after }},
		{"restart of all", func(s *Sim) FaultResult { return s.RestartAll(2 * time.Minute) }},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			d := fault.hit(startSmallFleet(t))
			is.True(d.Recovered)
			is.True(d.TenSeconds.Most/10 < busyBytesBound)
			is.True(d.MaxAppendsPerSecond < appendsBound)
		})
	}
}

// Guards against a publication, of all sections or of one, that takes longer than ten
// seconds to be in force on all nodes.
func TestPublicationIsInForceWithinTenSeconds(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Spread = true
	s := New(cfg)
	s.StartFleet(smallFleet / 4)
	s.Run(settleTime)
	for change, last := range []int{designServices - 1, 0} {
		is.NoErr(s.Publish(0, last, change))
		took, ok := s.AwaitConfiguration(10 * time.Second)
		is.True(ok)
		is.True(took > 0)
	}
	is.Equal(len(s.Live()[0].C.State().Sections()), designServices)
}
