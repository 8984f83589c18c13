package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against "may have run" for a key that ran nowhere: a node that takes no new work
// binds the key to itself, refuses the request and ends.
func TestNodeWithoutWorkBindsNoKey(t *testing.T) {
	for name, close := range map[string]func(m *machine) Effects{
		"draining":               func(m *machine) Effects { return m.servers[0].Drain(m.now) },
		"without backend server": func(m *machine) Effects { return m.servers[0].SetReady(m.now, false) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(t, 2)
			m.copies = false
			is.NoErr(m.apply(0, close(m)))
			first := m.send(m.newAction(), 0, "own", importance.Normal)
			is.NoErr(m.deliver(0))
			is.Equal(first.verdict, verdict.NotRun)
			is.NoErr(m.bind(0, false, false))
			is.Equal(len(m.log), 0)

			m.send(first.action, 1, "own", importance.Normal)
			is.NoErr(m.deliver(0))
			is.NoErr(m.bind(1, false, false))
			is.Equal(len(m.runs[1]), 1)
		})
	}
}

// Guards against a request that can run nowhere any more: its key was being bound to a node,
// or its task waited there, when the node began to drain.
func TestKeyBoundBeforeADrainRuns(t *testing.T) {
	t.Run("binding under way", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(t, 2)
		m.copies = false
		m.send(m.newAction(), 0, "own", importance.Normal)
		is.NoErr(m.deliver(0))
		is.NoErr(m.apply(0, m.servers[0].Drain(m.now)))
		is.NoErr(m.bind(0, false, false))
		is.Equal(len(m.runs[0]), 1)
	})
	t.Run("waiting", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(t, 2)
		m.copies = false
		for range 3 {
			m.send(m.newAction(), 0, "", importance.Normal)
		}
		keyed := m.send(m.newAction(), 0, "own", importance.Normal)
		for range 4 {
			is.NoErr(m.deliver(0))
		}
		is.NoErr(m.bind(0, false, false))
		is.Equal(len(m.runs[0]), 2)
		is.NoErr(m.apply(0, m.servers[0].Drain(m.now)))
		is.Equal(m.servers[0].TaskCount(), 3) // two run, and the one with a key waits
		for id := range m.runs[0] {
			is.NoErr(m.complete(0, id, Result{Verdict: verdict.Ran, Status: 200}))
			break
		}
		is.Equal(m.oracle.runs[keyed.action], 1)
	})
}

// Guards against a backend server that gets new work long after its node began to drain.
func TestWaitingKeysAreRefusedLateInADrain(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 2)
	m.copies = false
	for range 2 {
		m.send(m.newAction(), 0, "", importance.Normal)
	}
	keyed := m.send(m.newAction(), 0, "own", importance.Normal)
	keyed.req.Budget = time.Minute
	m.inTransit[2] = keyed.req
	for range 3 {
		is.NoErr(m.deliver(0))
	}
	is.NoErr(m.bind(0, false, false))
	is.NoErr(m.apply(0, m.servers[0].Drain(m.now)))
	for range 20 {
		is.NoErr(m.tick(100 * time.Millisecond))
	}
	is.Equal(keyed.verdict, verdict.NotRun)
	is.Equal(m.servers[0].TaskCount(), 2)
}
