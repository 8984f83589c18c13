package dispatch

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
)

// receiveLevels stores the admission levels that came with a reply.
func (d *Dispatcher) receiveLevels(p Params, r call.Reply) {
	if r.From.IsZero() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.levels(p).Heard(time.Now(), p.Operation.Service, r.From, r.Levels)
}

// levels returns the levels that apply to the call.
func (d *Dispatcher) levels(p Params) *admission.Levels {
	if p.Entering {
		return d.ingressLevels
	}
	return d.backendLevels
}

// PassOn sets the services whose levels are forwarded in replies.
func (d *Dispatcher) PassOn(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backendLevels.PassOn(services)
}

// Levels returns the received levels to forward in a reply.
func (d *Dispatcher) Levels(now time.Time) []call.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backendLevels.Report(now)
}

// TellLevels returns the level gossip to send now.
func (d *Dispatcher) TellLevels(now time.Time) []call.LevelNews {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backendLevels.Speak(now)
	d.ingressLevels.Speak(now)
	return d.levelGossip.Tell(now)
}

// HearLevels receives level gossip from another node.
func (d *Dispatcher) HearLevels(now time.Time, told []call.LevelNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.levelGossip.Hear(now, told)
}
