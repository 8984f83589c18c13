package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/graph"
)

var (
	// ErrOutcomeUnknown means that the publication may be in the log or may still
	// reach it. Publishing again with the same ID resolves the outcome and
	// cannot apply the change twice.
	ErrOutcomeUnknown = errors.New("outcome unknown: publish again with the same id")
	// ErrNotAppended means that this call wrote nothing. An earlier call
	// with the same ID may have.
	ErrNotAppended = errors.New("this call wrote nothing")
	// ErrNoBase means that the log has trimmed the records needed to judge a
	// publication and contains no usable checkpoint. Nodes that have a state
	// append one soon. If no node has a state, an operator has to publish a
	// replacement.
	ErrNoBase = errors.New("no usable checkpoint in the log")
)

// Status is the state of a publication.
type Status uint8

// Values of Status. OutcomeUnknown means that the outcome is not known.
const (
	OutcomeUnknown Status = iota
	Accepted
	Rejected
)

// String returns the name that is shown to operators.
func (s Status) String() string {
	switch s {
	case Accepted:
		return "accepted"
	case Rejected:
		return "rejected"
	default:
		return "unsettled"
	}
}

// Outcome is the result of Publish.
type Outcome struct {
	Status Status
	// Version is the version of the publication, zero while unsettled.
	Version uint64
	// Cause is the reason of a rejection. For a conflict it names the earlier
	// publication.
	Cause string
	// FromEarlierCall says that the outcome was determined by an earlier call with
	// the same ID.
	FromEarlierCall bool
}

const (
	// pollInterval is the interval between two reads for the publication's
	// record.
	pollInterval = 300 * time.Millisecond
	// pollsPerAppend is the number of reads before the record is appended
	// again.
	pollsPerAppend = 5
)

// Publish appends the publication and waits for its verdict until the context
// ends. If an append is not confirmed, Publish reads the log for the record by
// its ID and appends it again only if it is missing. If both copies arrive,
// only the first counts. Errors wrap ErrOutcomeUnknown or ErrNotAppended.
func Publish(ctx context.Context, log applog.Log, p Publication) (Outcome, error) {
	return newPublisher(log, sleep).publish(ctx, p)
}

// ReadState reads the whole stream and returns the resulting state. It is for
// operators' tools; nodes use Distributor.
func ReadState(ctx context.Context, log applog.Log) (*State, error) {
	p := newPublisher(log, sleep)
	if err := p.readToTail(ctx, true); err != nil {
		return nil, err
	}
	return p.state, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

type publisher struct {
	follower
	log  applog.Log
	wait func(context.Context, time.Duration) error
	// mayHaveWritten says that an append of this call may have taken effect.
	mayHaveWritten bool
}

func newPublisher(log applog.Log, wait func(context.Context, time.Duration) error) *publisher {
	cfg := DefaultConfig()
	return &publisher{
		follower: follower{replayer: newReplayer(), pageRecords: cfg.PageRecords, searchSpan: 2 * cfg.CheckpointRecords},
		log:      log,
		wait:     wait,
	}
}

func (p *publisher) publish(ctx context.Context, pub Publication) (Outcome, error) {
	if err := pub.check(); err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	outcome, err := p.appendUntilVerdict(ctx, pub)
	if err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", p.writeError(), err)
	}
	return outcome, nil
}

func (p *publisher) writeError() error {
	if p.mayHaveWritten {
		return ErrOutcomeUnknown
	}
	return ErrNotAppended
}

func (p *publisher) appendUntilVerdict(ctx context.Context, pub Publication) (Outcome, error) {
	if err := p.readToTail(ctx, !pub.Whole); err != nil {
		return Outcome{}, err
	}
	if outcome, ok := p.outcome(pub); ok && !(pub.Whole && outcome.Status == Rejected) {
		outcome.FromEarlierCall = true
		return outcome, nil
	}
	if cause := p.invalidReplacement(pub); cause != "" {
		return Outcome{Status: Rejected, Cause: cause}, nil
	}
	version := p.state.Version()
	for {
		pub.ReadOffset = p.readOffset()
		if err := p.append(ctx, pub); err != nil {
			return Outcome{}, err
		}
		outcome, ok, err := p.awaitVerdict(ctx, pub)
		if err != nil {
			return Outcome{}, err
		}
		if ok && !p.mayRetryReplacement(pub, outcome, version) {
			return outcome, nil
		}
	}
}

// mayRetryReplacement reports whether a rejected replacement can be appended
// again at once: only records that changed nothing, such as a checkpoint, were
// appended since the writer had read.
func (p *publisher) mayRetryReplacement(pub Publication, o Outcome, version uint64) bool {
	return pub.Whole && o.Status == Rejected && p.state.Version() == version
}

// invalidReplacement returns why no copy of a replacement can be accepted, or
// an empty string. Other publications can only be judged at their offset.
func (p *publisher) invalidReplacement(pub Publication) string {
	if !pub.Whole {
		return ""
	}
	sections := make([]graph.Section, len(pub.Sections))
	for i, c := range pub.Sections {
		sections[i] = graph.Section{Service: c.Service, Text: c.Text}
	}
	if _, problems := p.assemble(sections); len(problems) > 0 {
		return "the graph is not valid: " + problems[0].String()
	}
	return ""
}

// readOffset returns the offset up to which the stream was read.
func (p *publisher) readOffset() uint64 {
	if p.hasNoBase() {
		return p.search.pos
	}
	return p.state.AsOf()
}

// append appends the publication. It retries only appends that certainly were
// not written.
func (p *publisher) append(ctx context.Context, pub Publication) error {
	data, err := pub.Encode()
	if err != nil {
		return err
	}
	for {
		_, err := p.log.Append(ctx, Stream, data)
		if !errors.Is(err, applog.ErrNotWritten) {
			p.mayHaveWritten = true
			return nil
		}
		if waitErr := p.wait(ctx, pollInterval); waitErr != nil {
			return fmt.Errorf("%w: %w", waitErr, err)
		}
	}
}

// awaitVerdict reads the stream until the verdict is known, or pollsPerAppend
// times.
func (p *publisher) awaitVerdict(ctx context.Context, pub Publication) (Outcome, bool, error) {
	for range pollsPerAppend {
		if err := p.readToTail(ctx, !pub.Whole); err != nil {
			return Outcome{}, false, err
		}
		if outcome, ok := p.outcome(pub); ok {
			return outcome, true, nil
		}
		if err := p.wait(ctx, pollInterval); err != nil {
			return Outcome{}, false, err
		}
	}
	return Outcome{}, false, nil
}

// outcome returns the outcome of the publication, and false if it is unknown.
// After the verdict is dropped it returns Accepted as long as a section is
// still the one that the publication set.
func (p *publisher) outcome(pub Publication) (Outcome, bool) {
	if v, ok := p.state.Verdict(pub.ID); ok {
		if v.Accepted {
			return Outcome{Status: Accepted, Version: v.Version}, true
		}
		return Outcome{Status: Rejected, Version: v.Version, Cause: v.Cause}, true
	}
	if p.hasNoBase() && pub.Whole && p.readOffset() > pub.ReadOffset && p.mayHaveWritten {
		return Outcome{Status: Rejected, Cause: "something was appended after the writer had read"}, true
	}
	for _, c := range pub.Sections {
		if current, ok := p.state.Section(c.Service); ok && current.PublicationID == pub.ID {
			return Outcome{Status: Accepted, Version: current.Version}, true
		}
	}
	return Outcome{}, false
}

// readToTail applies the stream to its end. It retries when the log fails and,
// if needBase is set, waits for a base, until the context ends.
func (p *publisher) readToTail(ctx context.Context, needBase bool) error {
	for {
		nextRead := p.nextRead()
		logPage, err := p.log.Read(ctx, Stream, nextRead.from, nextRead.max)
		if err == nil {
			progressed := p.logPage(logPage)
			if p.atTail(logPage) && (p.state != nil || !needBase) {
				return nil
			}
			if progressed {
				continue
			}
			err = p.baseError()
		}
		if waitErr := p.wait(ctx, pollInterval); waitErr != nil {
			return errors.Join(waitErr, err)
		}
	}
}

func (p *publisher) baseError() error {
	if p.hasNoBase() {
		return ErrNoBase
	}
	return nil
}

func (p *publisher) atTail(page applog.Page) bool {
	if p.hasNoBase() {
		return p.search.pos >= page.Next
	}
	return !p.search.active && p.state != nil && p.state.asOf >= page.Next
}
