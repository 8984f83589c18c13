package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are taken below the range from which systems take the ports of
// outgoing connections: one of those could seize a port between the moment it
// was found free and the start of the process that is to listen on it.
const (
	firstPort  = 12000
	lastPort   = 31000
	portTrials = 1000
)

// ports hands out free ports on loopback, each only once.
type ports struct {
	next  int
	given map[int]bool
}

func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort), given: make(map[int]bool)}
}

// addr returns a free address.
func (p *ports) addr() (string, error) {
	for range portTrials {
		port := p.next
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		if p.given[port] || !free(port) {
			continue
		}
		p.given[port] = true
		return address(port), nil
	}
	return "", fmt.Errorf("no free port on loopback in %d trials", portTrials)
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func free(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}
