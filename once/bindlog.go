package once

import (
	"time"

	"github.com/cassialoom/cassialoom/applog"
)

// maxBackoff is the maximum factor of RetryEvery while the log fails.
const maxBackoff = 8

// NextAppend returns the next record to append, if one is due; the caller must
// report the outcome by Appended or AppendFailed. The first waiting key is sent at
// once. Keys that arrive during an append share the next record.
func (b *Binder) NextAppend(now time.Time) ([]byte, bool) {
	age := b.clock.ageAt(now)
	if b.inAppend || age < b.retryAt || age < b.lastAppend+b.cfg.BatchEvery {
		return nil, false
	}
	batch := b.dequeueBatch(age)
	if len(batch) == 0 {
		return nil, false
	}
	data, err := encodeBind(b.record(age, batch))
	if err != nil {
		// Can't happen with these types; the keys would expire as not run.
		return nil, false
	}
	b.inAppend = true
	b.appending = batch
	b.lastAppend = age
	b.counts.Appends++
	return data, true
}

// Appended records that the append has succeeded.
func (b *Binder) Appended(now time.Time) {
	age := b.clock.ageAt(now)
	b.inAppend = false
	b.appending = nil
	b.failures = 0
	b.readAt = min(b.readAt, age)
}

// AppendFailed records an append that failed or whose outcome is unknown. Its keys
// are appended again, and read for in case the append took effect.
func (b *Binder) AppendFailed(now time.Time) {
	age := b.clock.ageAt(now)
	b.inAppend = false
	b.queue = append(b.appending, b.queue...)
	b.appending = nil
	b.counts.Lost++
	b.backOff(age)
	b.readAt = min(b.readAt, age)
}

// NextRead returns the offset to read from, if a read is due; the caller must report
// the outcome by Page or ReadFailed.
func (b *Binder) NextRead(now time.Time) (from uint64, ok bool) {
	age := b.clock.ageAt(now)
	if b.inRead || age < b.readAt {
		return 0, false
	}
	b.inRead = true
	return b.next, true
}

// ReadFailed records a failed read.
func (b *Binder) ReadFailed(now time.Time) {
	b.inRead = false
	b.readAt = b.clock.ageAt(now) + b.cfg.RetryEvery
}

// Page applies the records read from the given offset and returns the keys that are
// resolved now. It ignores a late page for another offset, which could leave a gap.
func (b *Binder) Page(now time.Time, from uint64, page applog.Page) []Resolution {
	age := b.clock.ageAt(now)
	b.inRead = false
	// Expire first: an expired key must not get a second Resolution below.
	out := b.expire(age)
	if from != b.next {
		return out
	}
	b.claims.removeEnded(age)
	b.next = max(b.next, page.Oldest)
	for _, rec := range page.Records {
		if rec.Offset < b.next {
			continue
		}
		out = b.applyRecord(age, rec, out)
		b.next = rec.Offset + 1
	}
	b.readAt = age + b.readDelay(page)
	return out
}

// dequeueBatch removes up to MaxBatch keys that still wait from the queue.
func (b *Binder) dequeueBatch(age time.Duration) []*pendingKey {
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

// applyRecord applies a record and appends the resolved keys to out.
func (b *Binder) applyRecord(age time.Duration, rec applog.Record, out []Resolution) []Resolution {
	r, err := decodeBind(rec.Data)
	if err != nil {
		// All nodes skip the same records, so they agree on the first one.
		b.counts.Skipped++
		return out
	}
	validUntil := b.validUntil(age, r)
	for _, d := range r.digests() {
		b.claims.add(age, claim{key: d, holder: r.Node, validUntil: validUntil})
		out = b.resolve(age, d, out)
	}
	return out
}

// validUntil returns the age of this incarnation at which the record ends.
func (b *Binder) validUntil(age time.Duration, r bindRecord) time.Duration {
	if r.Node == b.self {
		return r.Age + b.cfg.BindingTTL - b.cfg.BindingTTL/ownMarginDivisor
	}
	return age + b.cfg.BindingTTL
}

// resolve appends the Resolution of a waiting key to out if it has a claim now.
func (b *Binder) resolve(age time.Duration, key digest, out []Resolution) []Resolution {
	p, ok := b.pending[key]
	if !ok {
		return out
	}
	r, ok := b.lookup(age, p.text, key)
	if !ok {
		return out
	}
	b.removePending(p)
	return append(out, r)
}

func (b *Binder) readDelay(page applog.Page) time.Duration {
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
