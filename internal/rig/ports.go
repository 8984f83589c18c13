package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are below the usual ephemeral range. Otherwise an outgoing connection could take
// a port after it was found free and before the process listens on it.
const (
	firstPort    = 12000
	lastPort     = 31000
	maxPortTries = 1000
)

// ports allocates free ports on loopback, each only once.
type ports struct {
	next      int
	allocated map[int]bool
}

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort), allocated: make(map[int]bool)}
}

// addr allocates a port and returns its address.
func (p *ports) addr() (string, error) {
	for range maxPortTries {
		port := p.next
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		if p.allocated[port] || !isFree(port) {
			continue
		}
		p.allocated[port] = true
		return address(port), nil
	}
	return "", fmt.Errorf("no free port on loopback in %d tries", maxPortTries)
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func isFree(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}
