package capacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/wire"
)

// logDelay is one read of the log.
const logDelay = 10 * time.Millisecond

func (s *Sim) tickConfig(n *Node) {
	if n.C == nil {
		return
	}
	if v := n.M.Version(); v != n.members {
		n.members = v
		n.C.SetMembers(peers(n))
	}
	s.act(n, n.C.Tick(s.clock(n)))
}

func peers(n *Node) []config.Peer {
	var peers []config.Peer
	for r := range n.M.All() {
		peers = append(peers, config.Peer{ID: r.ID, DataCentre: r.DataCentre})
	}
	return peers
}

func (s *Sim) act(n *Node, a config.Actions) {
	for _, send := range a.Send {
		if r, ok := n.M.Lookup(send.To); ok {
			s.transmit(n, letter{send.To, r.PeerAddr, encode(wire.KindConfig, send.Msg)})
		}
	}
	for _, data := range a.Append {
		n.Stats.Appends++
		s.appends.add(s.at, time.Second, 1)
		_, _ = s.Log.Append(context.Background(), config.Stream, data) // repeated by the machine
	}
	if a.Read != nil {
		s.readConfig(n, *a.Read)
	}
}

func (s *Sim) readConfig(n *Node, read config.Read) {
	n.Stats.Reads++
	page, err := s.Log.Read(context.Background(), config.Stream, read.From, read.Max)
	s.deliver(n, logDelay, func() {
		if err != nil {
			n.C.LogFailed(s.clock(n))
			return
		}
		s.act(n, n.C.LogPage(s.clock(n), page))
	})
}

func (s *Sim) receiveConfig(from, to *Node, frame wire.Frame) {
	var msg config.Message
	if err := wire.Unmarshal(frame.Body, &msg); err != nil {
		panic(err)
	}
	s.act(to, to.C.Receive(s.clock(to), from.ID, msg))
}

// Graph text of the size to design for: 200 services of 5 operations with 3
// calls each, 26 calls deep.
const (
	designServices = 200
	designDepth    = 26
	operations     = 5
	calls          = 3
)

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// sectionText is the text of one service; changed distinguishes versions.
func sectionText(i, changed int) string {
	const layer = designServices / (designDepth + 1)
	var b strings.Builder
	fmt.Fprintf(&b, "# change %d\nservice %q {\n", changed, serviceName(i))
	for op := range operations {
		var to []string
		if level := i / layer; level < designDepth {
			for c := range calls {
				callee := (level+1)*layer + (i+c)%layer
				to = append(to, fmt.Sprintf("%q", fmt.Sprintf("%s.op%d", serviceName(callee), (op+c)%operations)))
			}
		}
		fmt.Fprintf(&b, "  operation \"op%d\" {\n    idempotent = true\n    importance = \"high\"\n", op)
		fmt.Fprintf(&b, "    deadline = \"800ms\"\n    calls = [%s]\n  }\n", strings.Join(to, ", "))
	}
	b.WriteString("}\n")
	return b.String()
}

// Publish appends changes of the sections first to last in one publication.
func (s *Sim) Publish(first, last, change int) error {
	state := s.Live()[0].C.State()
	p := config.Publication{ID: fmt.Sprintf("change-%d", change), Operator: "capacity", ReadOffset: state.AsOf()}
	for i := first; i <= last; i++ {
		base, _ := state.Section(serviceName(i))
		p.Sections = append(p.Sections, config.SectionChange{
			Service: serviceName(i), Text: sectionText(i, change), BaseVersion: base.Version,
		})
	}
	data, err := p.Encode()
	if err != nil {
		return err
	}
	_, err = s.Log.Append(context.Background(), config.Stream, data)
	return err
}

// InForce runs until all live nodes have what the log holds, and returns the
// time that it took.
func (s *Sim) InForce(limit time.Duration) (time.Duration, bool) {
	page, err := s.Log.Read(context.Background(), config.Stream, 0, 1)
	if err != nil {
		panic(err)
	}
	return s.RunUntil(limit, step, func() bool {
		for _, n := range s.Live() {
			if n.C.State().AsOf() < page.Next {
				return false
			}
		}
		return true
	})
}
