package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// memoryInUse returns the bytes of the live heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc + st.StackInuse)
}

// MeasureTable returns the bytes of one node's membership table of that size, and of the
// views that the daemon requests from it. The records are decoded from messages, as in
// production, so they share no strings.
func MeasureTable(size int) (table, views int64) {
	const perMessage = 100
	s := New(DefaultConfig())
	var messages [][]byte
	var records []membership.Record
	for i := range size {
		records = append(records, s.Start(FleetSpec(i, size)).M.Self())
		if len(records) == perMessage || i == size-1 {
			messages = append(messages, encode(wire.KindMembership, &membership.Message{Records: records, Repair: true}))
			records = nil
		}
	}
	s = nil
	before := memoryInUse()
	m := decodeTable(messages)
	table = memoryInUse() - before
	m.View()
	for i := range designServices {
		m.OfService(serviceName(i))
	}
	views = memoryInUse() - before - table
	runtime.KeepAlive(m)
	runtime.KeepAlive(messages)
	return table, views
}

// decodeTable returns a membership table filled from encoded messages.
func decodeTable(messages [][]byte) *membership.Members {
	self := membership.Record{ID: wire.NewNodeID(), PeerAddr: "10.255.0.1:7400"}
	m := membership.New(membership.DefaultConfig(), self, 1)
	for _, data := range messages {
		frame, err := wire.Decode(data)
		if err != nil {
			panic(err)
		}
		var msg membership.Message
		if err := wire.Unmarshal(frame.Body, &msg); err != nil {
			panic(err)
		}
		m.Receive(time.Unix(0, 0), wire.NodeID{1}, msg)
	}
	return m
}

// MeasureConfiguration returns the bytes of one node's configuration of 200 services,
// including the checked graph.
func MeasureConfiguration() int64 {
	p := config.Publication{ID: "all", Whole: true}
	for i := range designServices {
		p.Sections = append(p.Sections, config.SectionChange{Service: serviceName(i), Text: sectionText(i, 0)})
	}
	data, err := p.Encode()
	if err != nil {
		panic(err)
	}
	before := memoryInUse()
	c := config.NewDistributor(config.DefaultConfig(), wire.NodeID{1}, "dc-0", 1)
	now := time.Unix(0, 0)
	for c.State().Graph() == nil {
		now = now.Add(time.Second)
		if a := c.Tick(now); a.Read == nil {
			continue
		}
		page := applog.Page{Next: 1}
		page.Records = []applog.Record{{Data: append([]byte(nil), data...)}}
		c.LogPage(now, page)
	}
	growth := memoryInUse() - before
	runtime.KeepAlive(c)
	runtime.KeepAlive(data)
	return growth
}

// Connection holds the costs of one connection for one of its two ends.
type Connection struct {
	// Memory is the number of bytes held while the connection is open.
	Memory float64
	// CPU is the processor time for opening it.
	CPU time.Duration
	// Sent and Received are the bytes that the dialling end sends and receives until the
	// connection is open, without headers of TCP and IP.
	Sent, Received float64
}

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, l: l}, nil
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.out.Add(int64(n))
	return n, err
}

// idleHandler ignores all events of a transport.
type idleHandler struct{}

func (idleHandler) Handle(*transport.Conn, wire.Frame) {}
func (idleHandler) Up(*transport.Conn)                 {}
func (idleHandler) Suspended(*transport.Conn)          {}
func (idleHandler) Down(*transport.Conn)               {}
func (idleHandler) OwesReply(wire.NodeID) bool         { return false }

// MeasureConnections opens count connections to one node over loopback, each from a
// separate node.
func MeasureConnections(count int) (Connection, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Connection{}, err
	}
	listener := &countingListener{Listener: tcp}
	addr := listener.Addr().String()
	hub := newTransport(addr)
	defer hub.Close()
	mux := http.NewServeMux()
	mux.Handle(transport.Path, hub)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	defer server.Close()
	peers := make([]*transport.Transport, count)
	for i := range peers {
		peers[i] = newTransport(fmt.Sprintf("127.0.0.2:%d", i+1))
		defer peers[i].Close()
	}
	before, cpu := memoryInUse(), cpuTime()
	for _, end := range peers {
		if _, err := end.Connect(context.Background(), wire.NodeID{}, addr); err != nil {
			return Connection{}, err
		}
	}
	cpu = cpuTime() - cpu
	growth := memoryInUse() - before
	endCount := 2 * count
	return Connection{
		Memory:   float64(growth) / float64(endCount),
		CPU:      cpu / time.Duration(endCount),
		Sent:     float64(listener.in.Load()) / float64(count),
		Received: float64(listener.out.Load()) / float64(count),
	}, nil
}

func newTransport(addr string) *transport.Transport {
	cfg := transport.DefaultConfig()
	cfg.Cluster = "capacity"
	cfg.ID = wire.NewNodeID()
	cfg.Addr = addr
	return transport.New(cfg, idleHandler{})
}
