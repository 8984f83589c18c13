package config

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// renewal plans this node's next checkpoint.
type renewal struct {
	newest  uint64        // as-of offset of the newest checkpoint known
	renewAt time.Duration // when that is due to be renewed
	due     time.Duration // when this node appends one, or never
}

// checkpoint appends one when it is due. Only a reader at the tail comes here;
// two that append at the same time do no harm. Without checkpoints the log
// would forget what was accepted, and a newcomer that finds no peer could
// never judge a publication again.
func (s *Spread) checkpoint(a *Actions) {
	st, now := s.State(), s.clock.elapsed
	if st.version == 0 {
		return
	}
	r := &s.renewal
	if r.newest != st.checkpoint {
		*r = renewal{newest: st.checkpoint, renewAt: now + s.cfg.CheckpointEvery, due: never}
	}
	if !s.wantCheckpoint() {
		r.due = never
		return
	}
	if r.due == never {
		r.due = now + s.jitter(s.cfg.CheckpointSpread)
	}
	if now < r.due {
		return
	}
	r.due = now + s.cfg.CheckpointSpread + s.jitter(s.cfg.CheckpointSpread)
	data, err := wire.Marshal(record{Checkpoint: st.since(0)})
	if err != nil {
		return // cannot be: the types marshal
	}
	a.Append = append(a.Append, data)
	s.counters.Checkpoints++
}

func (s *Spread) wantCheckpoint() bool {
	st := s.State()
	unusable := st.checkpoint < s.follower.oldest
	return unusable || st.asOf-st.checkpoint >= s.cfg.CheckpointRecords || s.clock.elapsed >= s.renewal.renewAt
}
