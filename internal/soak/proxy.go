package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is what a proxy does with the bytes that pass.
type linkMode uint8

const (
	linkOpen linkMode = iota
	// linkSlow delays each piece by slowBy.
	linkSlow
	// linkReset ends the connections, and new ones at once.
	linkReset
	// linkSilent holds everything back in both directions, for good on the
	// connections of that time.
	linkSilent
	// linkOneWay holds back what comes from the dialled side.
	linkOneWay
)

const slowBy = 40 * time.Millisecond

// proxy stands between a node and what it dials, on an address of its own.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]struct{}
	done  sync.WaitGroup
}

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	p.done.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// set changes the mode. Connections that were reset or went silent stay so.
func (p *proxy) set(m linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == linkReset || p.mode == linkSilent || p.mode == linkOneWay {
		p.reset()
	}
	p.mode = m
}

// reset closes all connections with a reset; the caller holds the lock.
func (p *proxy) reset() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.ln.Close()
	p.mu.Lock()
	p.reset()
	p.mu.Unlock()
	p.done.Wait()
}

func (p *proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.now() == linkReset {
			near.Close()
			continue
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		p.hold(near)
		p.hold(far)
		p.done.Go(func() { p.pump(near, far, false) })
		p.done.Go(func() { p.pump(far, near, true) })
	}
}

func (p *proxy) hold(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) now() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// pump moves bytes from one side to the other until either ends.
func (p *proxy) pump(from, to net.Conn, answers bool) {
	defer p.drop(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(to, buf[:n], answers) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) pass(to io.Writer, b []byte, answers bool) bool {
	switch m := p.now(); {
	case m == linkSilent, m == linkOneWay && answers:
		return true // swallowed: nothing more comes on this connection
	case m == linkSlow:
		time.Sleep(slowBy)
	}
	_, err := to.Write(b)
	return err == nil
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}
