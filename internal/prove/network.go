package prove

import (
	"io"
	"net"
	"sync"
)

// LinkState says how a link between two nodes treats its traffic.
type LinkState uint8

const (
	// Open forwards all traffic.
	Open LinkState = iota
	// Cut closes the connections and refuses new ones.
	Cut
	// Stalled buffers the traffic until the state changes, then delivers it in
	// order, possibly after the sender timed out.
	Stalled
)

// Network relays the connections to the peer address of each node. It reads the
// address of the connecting node from the hello, so that a test can stop the
// traffic between two given nodes.
type Network struct {
	mu           sync.Mutex
	changed      *sync.Cond
	defaultState LinkState
	links        map[link]LinkState
	conns        map[*relayedConn]struct{}
	listeners    []net.Listener
	closed       bool
	wg           sync.WaitGroup
}

// link is an unordered pair of peer addresses.
type link struct{ a, b string }

func linkBetween(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// NewNetwork returns a network in which all links are open.
func NewNetwork() *Network {
	n := &Network{links: make(map[link]LinkState), conns: make(map[*relayedConn]struct{})}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Relay forwards connections at the address public to target.
func (n *Network) Relay(public, target string) error {
	ln, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, ln)
	n.mu.Unlock()
	n.wg.Go(func() { n.accept(ln, public, target) })
	return nil
}

// SetAll sets the state of all links.
func (n *Network) SetAll(s LinkState) {
	n.update(func() {
		n.defaultState = s
		clear(n.links)
	})
}

// Set sets the state of the link between two peer addresses.
func (n *Network) Set(a, b string, s LinkState) {
	n.update(func() { n.links[linkBetween(a, b)] = s })
}

// Isolate sets the state of all links between a and the others.
func (n *Network) Isolate(a string, others []string, s LinkState) {
	n.update(func() {
		for _, b := range others {
			if a != b {
				n.links[linkBetween(a, b)] = s
			}
		}
	})
}

func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	for c := range n.conns {
		if n.linkState(c) == Cut {
			c.close()
		}
	}
	n.changed.Broadcast()
}

// Close closes all connections and waits for the goroutines of the relay.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for _, ln := range n.listeners {
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

// relayedConn is a connection from one node to another.
type relayedConn struct {
	from, to       string // from is empty until the hello has been read
	client, server net.Conn
}

func (c *relayedConn) close() {
	c.client.Close()
	c.server.Close()
}

func (n *Network) serve(client net.Conn, public, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	c := &relayedConn{to: public, client: client, server: server}
	defer c.close()
	if !n.register(c) {
		return
	}
	defer n.unregister(c)
	n.wg.Go(func() {
		defer c.close()
		// Only the HTTP header is forwarded before both ends are known: a
		// partitioned node must not receive the hello of its peer.
		if forwardHead(server, client) == nil && n.awaitHello(c) {
			n.forward(c, server, client)
		}
	})
	from, err := forwardHello(client, server)
	if err != nil {
		return
	}
	n.setSource(c, from)
	n.forward(c, client, server)
}

func (n *Network) register(c *relayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Network) unregister(c *relayedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	n.changed.Broadcast()
}

func (n *Network) setSource(c *relayedConn, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.from = from
	if n.linkState(c) == Cut {
		c.close()
	}
	n.changed.Broadcast()
}

// awaitHello waits until the hello has been read; it returns false if the
// connection ends first.
func (n *Network) awaitHello(c *relayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c.from == "" && !n.closed && n.isRegistered(c) {
		n.changed.Wait()
	}
	return c.from != ""
}

func (n *Network) isRegistered(c *relayedConn) bool {
	_, ok := n.conns[c]
	return ok
}

// linkState returns the state of the connection's link. The caller holds n.mu.
func (n *Network) linkState(c *relayedConn) LinkState {
	if s, ok := n.links[linkBetween(c.from, c.to)]; ok {
		return s
	}
	return n.defaultState
}

const bufferBytes = 32 << 10

func (n *Network) forward(c *relayedConn, from io.Reader, to io.Writer) {
	buf := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buf)
		if count > 0 && (!n.awaitOpen(c) || !writeAll(to, buf[:count])) {
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen waits while the link is stalled; it returns false if the connection
// must end.
func (n *Network) awaitOpen(c *relayedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && n.linkState(c) == Stalled {
		n.changed.Wait()
	}
	return !n.closed && n.linkState(c) != Cut
}

func writeAll(w io.Writer, b []byte) bool {
	_, err := w.Write(b)
	return err == nil
}
