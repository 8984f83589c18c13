package prove

import (
	"io"
	"net"
	"sync"
)

// LinkState is what the network does with the traffic between two nodes.
type LinkState uint8

const (
	// Open passes everything on.
	Open LinkState = iota
	// Cut ends the connections and lets no new one come about.
	Cut
	// Stalled holds everything back, in order, until the state changes: what
	// was sent arrives late, when its sender may have given up.
	Stalled
)

// Network is a relay in front of the peer address of each node. It learns the
// two ends of a connection from the first message, so that the traffic
// between two nodes can be stopped and nothing else.
type Network struct {
	mu      sync.Mutex
	changed *sync.Cond
	all     LinkState
	links   map[link]LinkState
	conns   map[*relayed]struct{}
	lns     []net.Listener
	closed  bool
	wg      sync.WaitGroup
}

// link is a pair of peer addresses, in no particular order.
type link struct{ a, b string }

func between(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// NewNetwork returns a network that passes everything on.
func NewNetwork() *Network {
	n := &Network{links: make(map[link]LinkState), conns: make(map[*relayed]struct{})}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Relay passes what comes to the address public on to target.
func (n *Network) Relay(public, target string) error {
	ln, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.lns = append(n.lns, ln)
	n.mu.Unlock()
	n.wg.Go(func() { n.accept(ln, public, target) })
	return nil
}

// SetAll sets the state between any two nodes.
func (n *Network) SetAll(s LinkState) {
	n.set(func() {
		n.all = s
		clear(n.links)
	})
}

// Set sets the state between the nodes of two peer addresses.
func (n *Network) Set(a, b string, s LinkState) {
	n.set(func() { n.links[between(a, b)] = s })
}

// Isolate sets the state between one node and all others.
func (n *Network) Isolate(a string, others []string, s LinkState) {
	n.set(func() {
		for _, b := range others {
			if a != b {
				n.links[between(a, b)] = s
			}
		}
	})
}

func (n *Network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	for c := range n.conns {
		if n.state(c) == Cut {
			c.close()
		}
	}
	n.changed.Broadcast()
}

// Close ends all connections and waits for the relay's goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, ln := range n.lns {
		ln.Close()
	}
	for c := range n.conns {
		c.close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Network) accept(ln net.Listener, public, target string) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serve(client, public, target) })
	}
}

// relayed is one connection from a node to another.
type relayed struct {
	from, to       string // from is empty until the first message has told it
	client, server net.Conn
}

func (c *relayed) close() {
	c.client.Close()
	c.server.Close()
}

func (n *Network) serve(client net.Conn, public, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	c := &relayed{to: public, client: client, server: server}
	defer c.close()
	if !n.register(c) {
		return
	}
	defer n.unregister(c)
	n.wg.Go(func() {
		defer c.close()
		// What follows the head waits until both ends are known: a node
		// that is cut off must not hear the other one's hello.
		if passHead(server, client) == nil && n.awaitHello(c) {
			n.pass(c, server, client)
		}
	})
	from, err := passHello(client, server)
	if err != nil {
		return
	}
	n.learn(c, from)
	n.pass(c, client, server)
}

func (n *Network) register(c *relayed) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Network) unregister(c *relayed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	n.changed.Broadcast()
}

func (n *Network) learn(c *relayed, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.from = from
	if n.state(c) == Cut {
		c.close()
	}
	n.changed.Broadcast()
}

// awaitHello waits until the other end is known; false if it never will be.
func (n *Network) awaitHello(c *relayed) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c.from == "" && !n.closed && n.has(c) {
		n.changed.Wait()
	}
	return c.from != ""
}

func (n *Network) has(c *relayed) bool {
	_, ok := n.conns[c]
	return ok
}

// state of a connection; the caller holds the lock.
func (n *Network) state(c *relayed) LinkState {
	if s, ok := n.links[between(c.from, c.to)]; ok {
		return s
	}
	return n.all
}

const blockBytes = 32 << 10

func (n *Network) pass(c *relayed, from io.Reader, to io.Writer) {
	buf := make([]byte, blockBytes)
	for {
		count, err := from.Read(buf)
		if count > 0 && (!n.mayPass(c) || !writeAll(to, buf[:count])) {
			return
		}
		if err != nil {
			return
		}
	}
}

// mayPass waits while the link is stalled; false ends the connection.
func (n *Network) mayPass(c *relayed) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && n.state(c) == Stalled {
		n.changed.Wait()
	}
	return !n.closed && n.state(c) != Cut
}

func writeAll(w io.Writer, b []byte) bool {
	_, err := w.Write(b)
	return err == nil
}
