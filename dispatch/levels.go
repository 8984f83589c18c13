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
	record := d.levels(p).RecordReply
	if r.Notice.Limited {
		record = d.levels(p).RecordRateLimitedReply
	}
	record(time.Now(), p.Operation.Service, r.From, r.Levels)
}

// levels returns the levels that apply to the call.
func (d *Dispatcher) levels(p Params) *admission.Levels {
	if p.FromCaller {
		return d.ingressLevels
	}
	return d.backendLevels
}

// SetForwarded sets the services whose levels are forwarded in replies.
func (d *Dispatcher) SetForwarded(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backendLevels.SetForwarded(services)
}

// Levels returns the received levels to forward in a reply.
func (d *Dispatcher) Levels(now time.Time) []call.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backendLevels.Report(now)
}

// OutgoingGossip returns the level gossip to send now.
func (d *Dispatcher) OutgoingGossip(now time.Time) []call.LevelNews {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backendLevels.PublishGossip(now)
	d.ingressLevels.PublishGossip(now)
	return d.levelGossip.Outgoing(now)
}

// ReceiveGossip receives level gossip from another node.
func (d *Dispatcher) ReceiveGossip(now time.Time, told []call.LevelNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.levelGossip.Receive(now, told)
}
