package capacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/wire"
)

// logDelay is the duration of one read of the log.
const logDelay = 10 * time.Millisecond

// tickConfig ticks the configuration gossip of a node.
func (s *Sim) tickConfig(n *Node) {
	if n.C == nil {
		return
	}
	if v := n.M.Version(); v != n.membersVersion {
		n.membersVersion = v
		n.C.SetMembers(peers(n))
	}
	s.perform(n, n.C.Tick(s.clock(n)))
}

func peers(n *Node) []config.Peer {
	var peers []config.Peer
	for r := range n.M.All() {
		peers = append(peers, config.Peer{ID: r.ID, DataCentre: r.DataCentre})
	}
	return peers
}

// perform carries out the actions of the configuration gossip: messages, appends to the log
// and reads of it.
func (s *Sim) perform(n *Node, a config.Actions) {
	for _, send := range a.Send {
		if r, ok := n.M.Lookup(send.To); ok {
			s.transmit(n, envelope{send.To, r.PeerAddr, encode(wire.KindConfig, send.Msg)})
		}
	}
	for _, data := range a.Append {
		n.Stats.Appends++
		s.appendsPerSecond.add(s.at, time.Second, 1)
		_, _ = s.Log.Append(context.Background(), config.Stream, data) // config.Spread retries
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
		s.perform(n, n.C.LogPage(s.clock(n), page))
	})
}

func (s *Sim) receiveConfig(from, to *Node, frame wire.Frame) {
	var msg config.Message
	if err := wire.Unmarshal(frame.Body, &msg); err != nil {
		panic(err)
	}
	s.perform(to, to.C.Receive(s.clock(to), from.ID, msg))
}

// Shape of the graph: services are in layers, and the operations of each call those of the
// next layer.
const (
	designServices       = 200
	designDepth          = 26
	operationsPerService = 5
	callsPerOperation    = 3
)

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// sectionText returns the text of one service. change distinguishes versions.
func sectionText(i, change int) string {
	const layer = designServices / (designDepth + 1)
	var b strings.Builder
	fmt.Fprintf(&b, "# change %d\nservice %q {\n", change, serviceName(i))
	for op := range operationsPerService {
		var to []string
		if level := i / layer; level < designDepth {
			for c := range callsPerOperation {
				callee := (level+1)*layer + (i+c)%layer
				to = append(to, fmt.Sprintf("%q", fmt.Sprintf("%s.op%d", serviceName(callee), (op+c)%operationsPerService)))
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

// AwaitConfiguration runs until all live nodes have applied the whole log. It returns the
// time taken, and false if limit passed first.
func (s *Sim) AwaitConfiguration(limit time.Duration) (time.Duration, bool) {
	page, err := s.Log.Read(context.Background(), config.Stream, 0, 1)
	if err != nil {
		panic(err)
	}
	return s.RunUntil(limit, pollInterval, func() bool {
		for _, n := range s.Live() {
			if n.C.State().AsOf() < page.Next {
				return false
			}
		}
		return true
	})
}
