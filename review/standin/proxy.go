//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// network is the set of proxies between the machines and the store. It can cut one machine
// off: nothing passes in either direction until the cut ends, then all that was held passes.
type network struct {
	mu      sync.Mutex
	cut     string // advertised peer address of the machine that is cut off, empty for none
	changed chan struct{}
	// silent is the number of connections that have gone silent for good: the oldest ones.
	silent, opened int
}

func newNetwork() *network { return &network{changed: make(chan struct{})} }

// setCut cuts off the machine with the given advertised address; empty ends the cut.
func (n *network) setCut(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = addr
	close(n.changed)
	n.changed = make(chan struct{})
}

// silence makes all open connections silent for good, without a reset. New ones work.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = n.opened
	close(n.changed)
	n.changed = make(chan struct{})
}

// wait waits while a link between the two ends is cut or the connection is silent.
func (n *network) wait(number int, ends *[2]string) {
	for {
		n.mu.Lock()
		blocked := n.cut != "" && (ends[0] == n.cut || ends[1] == n.cut) || number <= n.silent
		changed := n.changed
		n.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

// listen forwards connections from addr to the listener at to. self names the machine to
// which the proxy belongs, by its advertised address. If peers is set, the dialling machine
// is found in the first message of the nodes' protocol, which holds its address.
func (n *network) listen(addr, to, self string, peers []string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.forward(c, to, self, peers)
		}
	}()
	return nil
}

func (n *network) forward(c net.Conn, to, self string, peers []string) {
	defer c.Close()
	ends := &[2]string{self, ""}
	n.mu.Lock()
	n.opened++
	number := n.opened
	n.mu.Unlock()
	n.wait(number, ends)
	d, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	var once sync.Once
	closeBoth := func() { once.Do(func() { c.Close(); d.Close() }) }
	go func() {
		defer closeBoth()
		n.pump(c, d, number, ends, nil)
	}()
	n.pump(d, c, number, ends, peers)
	closeBoth()
}

// pump copies from one end to the other while the link is not cut.
func (n *network) pump(to, from net.Conn, number int, ends *[2]string, peers []string) {
	buf := make([]byte, 32<<10)
	var seen []byte
	for {
		k, err := from.Read(buf)
		if k > 0 {
			if peers != nil && ends[1] == "" {
				seen = append(seen, buf[:k]...)
				n.mu.Lock()
				ends[1] = dialler(seen, peers)
				n.mu.Unlock()
			}
			n.wait(number, ends)
			if _, err := to.Write(buf[:k]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				n.wait(number, ends)
			}
			return
		}
	}
}

// dialler returns the address that the first frame after the upgrade request holds.
func dialler(seen []byte, peers []string) string {
	i := bytes.Index(seen, []byte("\r\n\r\n"))
	if i < 0 || len(seen) < i+4+8 {
		return ""
	}
	frame := seen[i+4:]
	size, head := int(frame[1]&0x7f), 2
	if size == 126 {
		size, head = int(frame[2])<<8|int(frame[3]), 4
	}
	if len(frame) < head+4+size {
		return ""
	}
	mask, payload := frame[head:head+4], bytes.Clone(frame[head+4:head+4+size])
	for k := range payload {
		payload[k] ^= mask[k%4]
	}
	for _, p := range peers {
		if bytes.Contains(payload, []byte(p)) {
			return p
		}
	}
	return "unknown"
}
