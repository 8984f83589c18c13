package dispatch

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
)

// learn takes the admission levels that came with a reply.
func (d *Dispatcher) learn(p Params, r call.Reply) {
	if r.From.IsZero() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.levels(p).Heard(time.Now(), p.Operation.Service, r.From, r.Levels)
}

func (d *Dispatcher) levels(p Params) *admission.Levels {
	if p.Entering {
		return d.entering
	}
	return d.own
}

// PassOn names the services whose levels are passed on with replies.
func (d *Dispatcher) PassOn(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.PassOn(services)
}

// Levels returns the learned levels to pass on with a reply.
func (d *Dispatcher) Levels(now time.Time) []call.Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Report(now)
}

// TellLevels returns what to tell other nodes about levels now.
func (d *Dispatcher) TellLevels(now time.Time) []call.LevelNews {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.Speak(now)
	d.entering.Speak(now)
	return d.news.Tell(now)
}

// HearLevels takes what another node tells about levels.
func (d *Dispatcher) HearLevels(now time.Time, told []call.LevelNews) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.news.Hear(now, told)
}
