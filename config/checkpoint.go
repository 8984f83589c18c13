package config

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// checkpointPlan schedules this node's next checkpoint.
type checkpointPlan struct {
	newest  uint64        // as-of offset of the newest known checkpoint
	renewAt time.Duration // when the newest checkpoint becomes due for renewal
	due     time.Duration // when this node appends one, or never
}

// checkpoint appends a checkpoint if one is due. Only readers at the tail of
// the stream call it; concurrent appends by two readers are harmless. Without
// checkpoints the log would trim accepted sections, and a starting node that
// finds no peer could not judge any publication.
func (s *Distributor) checkpoint(a *Actions) {
	st, now := s.State(), s.clock.elapsed
	if st.version == 0 {
		return
	}
	r := &s.checkpointPlan
	if r.newest != st.checkpoint {
		*r = checkpointPlan{newest: st.checkpoint, renewAt: now + s.cfg.CheckpointEvery, due: never}
	}
	if !s.checkpointDue() {
		r.due = never
		return
	}
	if r.due == never {
		r.due = now + s.jitter(s.cfg.CheckpointJitter)
	}
	if now < r.due {
		return
	}
	r.due = now + s.cfg.CheckpointJitter + s.jitter(s.cfg.CheckpointJitter)
	data, err := wire.Marshal(record{Checkpoint: st.updateSince(0)})
	if err != nil {
		return // unreachable: the types can be encoded
	}
	a.Append = append(a.Append, data)
	s.counters.Checkpoints++
}

func (s *Distributor) checkpointDue() bool {
	st := s.State()
	unusable := st.checkpoint < s.follower.oldest
	return unusable || st.asOf-st.checkpoint >= s.cfg.CheckpointRecords || s.clock.elapsed >= s.checkpointPlan.renewAt
}
