package once

import (
	"time"

	"github.com/cassialoom/cassialoom/applog"
)

// maxBackoff bounds the growth of RetryEvery while the log fails, as a factor.
const maxBackoff = 8

// WantAppend returns a record to append; Appended or AppendFailed must follow.
// A key that waits alone is sent at once, others that come meanwhile share the
// next record.
func (b *Binder) WantAppend(now time.Time) ([]byte, bool) {
	age := b.clock.at(now)
	if b.inAppend || age < b.retryAt || age < b.lastAppend+b.cfg.BatchEvery {
		return nil, false
	}
	batch := b.takeBatch(age)
	if len(batch) == 0 {
		return nil, false
	}
	data, err := encodeBind(b.record(age, batch))
	if err != nil {
		// Cannot happen with these types; the keys expire as not run.
		return nil, false
	}
	b.inAppend = true
	b.appending = batch
	b.lastAppend = age
	b.counts.Appends++
	return data, true
}

// Appended reports that the record has been written.
func (b *Binder) Appended(now time.Time) {
	age := b.clock.at(now)
	b.inAppend = false
	b.appending = nil
	b.failures = 0
	b.readAt = min(b.readAt, age)
}

// AppendFailed reports an append without a good answer, whatever it says about
// the effect: its keys are read for and go into the next record too.
func (b *Binder) AppendFailed(now time.Time) {
	age := b.clock.at(now)
	b.inAppend = false
	b.queue = append(b.appending, b.queue...)
	b.appending = nil
	b.counts.Lost++
	b.backOff(age)
	b.readAt = min(b.readAt, age)
}

// WantRead returns the offset to read from; Page or ReadFailed must follow.
func (b *Binder) WantRead(now time.Time) (from uint64, ok bool) {
	age := b.clock.at(now)
	if b.inRead || age < b.readAt {
		return 0, false
	}
	b.inRead = true
	return b.next, true
}

// ReadFailed reports a read without an answer.
func (b *Binder) ReadFailed(now time.Time) {
	b.inRead = false
	b.readAt = b.clock.at(now) + b.cfg.RetryEvery
}

// Page folds the answer to the read from the given offset and returns the keys
// that it settles. A page for another offset, which is one that came late, is
// dropped: it could leave a hole in the fold.
func (b *Binder) Page(now time.Time, from uint64, page applog.Page) []Resolution {
	age := b.clock.at(now)
	b.inRead = false
	// Those that have waited too long first: they must get one answer only.
	out := b.expire(age)
	if from != b.next {
		return out
	}
	b.claims.forget(age)
	b.next = max(b.next, page.Oldest)
	for _, rec := range page.Records {
		if rec.Offset < b.next {
			continue
		}
		out = b.fold(age, rec, out)
		b.next = rec.Offset + 1
	}
	b.readAt = age + b.readPause(page)
	return out
}

// takeBatch takes keys that still wait off the queue.
func (b *Binder) takeBatch(age time.Duration) []*pendingKey {
	var batch []*pendingKey
	n := 0
	for n < len(b.queue) && len(batch) < b.cfg.MaxBatch {
		p := b.queue[n]
		b.queue[n] = nil
		n++
		if p.done || p.deadline <= age {
			continue
		}
		if !p.sent {
			p.sent = true
			b.sent++
		}
		batch = append(batch, p)
	}
	b.queue = b.queue[n:]
	return batch
}

func (b *Binder) record(age time.Duration, batch []*pendingKey) bindRecord {
	r := bindRecord{Node: b.self, Age: age}
	for _, p := range batch {
		r.Digests = append(r.Digests, p.key[:]...)
	}
	return r
}

func (b *Binder) fold(age time.Duration, rec applog.Record, out []Resolution) []Resolution {
	r, err := decodeBind(rec.Data)
	if err != nil {
		// Every reader skips the same records.
		b.counts.Skipped++
		return out
	}
	until := b.until(age, r)
	for _, d := range r.digests() {
		b.claims.add(age, claim{key: d, holder: r.Node, until: until})
		out = b.resolve(age, d, out)
	}
	return out
}

// until is the age at which the record ends for this node.
func (b *Binder) until(age time.Duration, r bindRecord) time.Duration {
	if r.Node == b.self {
		return r.Age + b.cfg.HeldFor - b.cfg.HeldFor/ownShare
	}
	return age + b.cfg.HeldFor
}

// resolve settles a key that waits, if a claim for it is known now.
func (b *Binder) resolve(age time.Duration, key digest, out []Resolution) []Resolution {
	p, ok := b.pending[key]
	if !ok {
		return out
	}
	r, ok := b.lookup(age, p.text, key)
	if !ok {
		return out
	}
	b.settle(p)
	return append(out, r)
}

func (b *Binder) readPause(page applog.Page) time.Duration {
	if b.next < page.Next && len(page.Records) > 0 {
		return 0
	}
	if b.sent > 0 {
		return b.cfg.BatchEvery
	}
	return b.cfg.ReadEvery
}

func (b *Binder) backOff(age time.Duration) {
	factor := min(maxBackoff, 1<<min(b.failures, maxBackoff))
	b.failures++
	b.retryAt = age + time.Duration(factor)*b.cfg.RetryEvery
}
