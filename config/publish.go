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
	// ErrUnsettled says that the publication may be in the log or may still
	// get there. Publishing again with the same ID settles it, and cannot
	// make it count twice.
	ErrUnsettled = errors.New("outcome unknown: publish again with the same id")
	// ErrNothingWritten says that this run wrote nothing. An earlier run
	// with the same ID may have.
	ErrNothingWritten = errors.New("this run wrote nothing")
	// ErrNoBase says that the log has trimmed what is needed to judge a
	// publication and no checkpoint has come. Nodes that have a state
	// append one within seconds; without any, a replacement of everything
	// is the way out.
	ErrNoBase = errors.New("no usable checkpoint in the log")
)

// Status of a publication.
type Status uint8

// The statuses.
const (
	Unsettled Status = iota
	Accepted
	Rejected
)

// String returns the word for people.
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

// Outcome is the answer to the operator.
type Outcome struct {
	Status Status
	// Version of the publication, zero while unsettled.
	Version uint64
	// Cause says why it was rejected, or who won.
	Cause string
	// Repeated says that an earlier run with the same ID settled it.
	Repeated bool
}

const (
	// lookEvery is the time between two looks for a record.
	lookEvery = 300 * time.Millisecond
	// looksPerAppend before the record is appended again.
	looksPerAppend = 5
)

// Publish appends the publication and waits for its verdict until the context
// ends. It never takes a lost answer for a failure: it looks for the record
// by its ID, and appends it again only when it is not there. If both copies
// arrive, the fold takes the first.
func Publish(ctx context.Context, log applog.Log, p Publication) (Outcome, error) {
	return newPublisher(log, sleep).publish(ctx, p)
}

// ReadState folds the stream to its end. It is for operators: nodes have a
// Spread.
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
	// wrote says that an append of this run may have taken effect.
	wrote bool
}

func newPublisher(log applog.Log, wait func(context.Context, time.Duration) error) *publisher {
	cfg := DefaultConfig()
	return &publisher{
		follower: follower{folder: newFolder(), pageRecords: cfg.PageRecords, searchSpan: 2 * cfg.CheckpointRecords},
		log:      log,
		wait:     wait,
	}
}

func (p *publisher) publish(ctx context.Context, pub Publication) (Outcome, error) {
	if err := pub.check(); err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", ErrNothingWritten, err)
	}
	outcome, err := p.settle(ctx, pub)
	if err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", p.failure(), err)
	}
	return outcome, nil
}

func (p *publisher) failure() error {
	if p.wrote {
		return ErrUnsettled
	}
	return ErrNothingWritten
}

func (p *publisher) settle(ctx context.Context, pub Publication) (Outcome, error) {
	if err := p.readToTail(ctx, !pub.Whole); err != nil {
		return Outcome{}, err
	}
	if outcome, ok := p.outcome(pub); ok && !(pub.Whole && outcome.Status == Rejected) {
		outcome.Repeated = true
		return outcome, nil
	}
	if cause := p.invalid(pub); cause != "" {
		return Outcome{Status: Rejected, Cause: cause}, nil
	}
	version := p.state.Version()
	for {
		pub.ReadTo = p.position()
		if err := p.append(ctx, pub); err != nil {
			return Outcome{}, err
		}
		outcome, ok, err := p.look(ctx, pub)
		if err != nil {
			return Outcome{}, err
		}
		if ok && !p.again(pub, outcome, version) {
			return outcome, nil
		}
	}
}

// again says whether a rejected replacement may be tried at once: it lost its
// place to records that changed nothing, such as a checkpoint.
func (p *publisher) again(pub Publication, o Outcome, version uint64) bool {
	return pub.Whole && o.Status == Rejected && p.state.Version() == version
}

// invalid says why no copy of a replacement can ever be accepted. All that
// decides about other publications is known only at their place in the log.
func (p *publisher) invalid(pub Publication) string {
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

// position is the as-of offset that all was read to.
func (p *publisher) position() uint64 {
	if p.stuck() {
		return p.search.pos
	}
	return p.state.AsOf()
}

// append retries only what certainly was not written.
func (p *publisher) append(ctx context.Context, pub Publication) error {
	data, err := pub.Encode()
	if err != nil {
		return err
	}
	for {
		_, err := p.log.Append(ctx, Stream, data)
		if !errors.Is(err, applog.ErrNotWritten) {
			p.wrote = true
			return nil
		}
		if waitErr := p.wait(ctx, lookEvery); waitErr != nil {
			return fmt.Errorf("%w: %w", waitErr, err)
		}
	}
}

// look reads on until the verdict is known or it is time to append again.
func (p *publisher) look(ctx context.Context, pub Publication) (Outcome, bool, error) {
	for range looksPerAppend {
		if err := p.readToTail(ctx, !pub.Whole); err != nil {
			return Outcome{}, false, err
		}
		if outcome, ok := p.outcome(pub); ok {
			return outcome, true, nil
		}
		if err := p.wait(ctx, lookEvery); err != nil {
			return Outcome{}, false, err
		}
	}
	return Outcome{}, false, nil
}

// outcome tells the verdict, also when it is older than the fold's memory as
// long as the sections still are what the publication made them.
func (p *publisher) outcome(pub Publication) (Outcome, bool) {
	if v, ok := p.state.Verdict(pub.ID); ok {
		if v.Accepted {
			return Outcome{Status: Accepted, Version: v.Version}, true
		}
		return Outcome{Status: Rejected, Version: v.Version, Cause: v.Cause}, true
	}
	if p.stuck() && pub.Whole && p.position() > pub.ReadTo && p.wrote {
		return Outcome{Status: Rejected, Cause: "something was appended after the writer had read"}, true
	}
	for _, c := range pub.Sections {
		if current, ok := p.state.Section(c.Service); ok && current.By == pub.ID {
			return Outcome{Status: Accepted, Version: current.Version}, true
		}
	}
	return Outcome{}, false
}

// readToTail folds to the end of the stream. It waits out failures of the log
// until the context ends and, if a base is needed, for a checkpoint.
func (p *publisher) readToTail(ctx context.Context, needBase bool) error {
	for {
		next := p.next()
		page, err := p.log.Read(ctx, Stream, next.from, next.max)
		if err == nil {
			moved := p.page(page)
			if p.atTail(page) && (p.state != nil || !needBase) {
				return nil
			}
			if moved {
				continue
			}
			err = p.noBase()
		}
		if waitErr := p.wait(ctx, lookEvery); waitErr != nil {
			return errors.Join(waitErr, err)
		}
	}
}

func (p *publisher) noBase() error {
	if p.stuck() {
		return ErrNoBase
	}
	return nil
}

func (p *publisher) atTail(page applog.Page) bool {
	if p.stuck() {
		return p.search.pos >= page.Next
	}
	return !p.search.active && p.state != nil && p.state.asOf >= page.Next
}
