package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is what a proxy does with the bytes that it forwards.
type linkMode uint8

const (
	linkOpen linkMode = iota
	// linkSlow delays each read by slowDelay.
	linkSlow
	// linkReset resets all connections and closes new ones at once.
	linkReset
	// linkSilent discards the bytes of both directions. The connections of that time
	// are reset when the mode changes.
	linkSilent
	// linkOneWay is linkSilent for the bytes from the target only.
	linkOneWay
)

const slowDelay = 40 * time.Millisecond

// proxy forwards TCP connections from its own address to a target and can disturb them.
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

// set changes the mode. It resets the connections if the new mode is linkReset or if
// bytes may have been discarded, so no connection continues with a gap.
func (p *proxy) set(next linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next == linkReset || p.mode == linkSilent || p.mode == linkOneWay {
		p.reset()
	}
	p.mode = next
}

// reset closes all connections with a TCP reset. The caller holds the lock.
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
		downstream, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == linkReset {
			downstream.Close()
			continue
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			downstream.Close()
			continue
		}
		p.track(downstream)
		p.track(upstream)
		p.done.Go(func() { p.forward(downstream, upstream, false) })
		p.done.Go(func() { p.forward(upstream, downstream, true) })
	}
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// forward copies bytes from one side to the other until either closes.
func (p *proxy) forward(from, to net.Conn, fromTarget bool) {
	defer p.closeConns(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.write(to, buf[:n], fromTarget) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) write(to io.Writer, b []byte, fromTarget bool) bool {
	switch mode := p.currentMode(); {
	case mode == linkSilent, mode == linkOneWay && fromTarget:
		return true // discarded; set resets this connection later
	case mode == linkSlow:
		time.Sleep(slowDelay)
	}
	_, err := to.Write(b)
	return err == nil
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}
