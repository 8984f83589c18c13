package operator

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/internal/fakelog"
)

const (
	plumecast  = "# forecasts\nservice \"plumecast\" {\n  operation \"forecast\" {\n    idempotent = true\n    calls = [\"stationlog.history\"]\n  }\n}\n"
	stationlog = "service \"stationlog\" {\n  operation \"history\" {\n    idempotent = true\n  }\n}\n"
)

func newLog() *fakelog.Log {
	return fakelog.New(fakelog.Config{}, func() time.Time { return time.Unix(0, 0) })
}

// session is an Operator with its output.
type session struct {
	*Operator
	out *bytes.Buffer
}

func newSession(log applog.Log, nodes ...string) session {
	var out bytes.Buffer
	return session{New(DefaultConfig(), &out, log, nodes), &out}
}

// publish publishes a text as operator aino, with changes to the Publication.
func (s session) publish(text string, change func(*Publication)) error {
	p := Publication{Text: Text{Name: "f.hcl", Data: []byte(text)}, Operator: "aino"}
	if change != nil {
		change(&p)
	}
	s.out.Reset()
	return s.Publish(context.Background(), p)
}

// printed reports whether the output contains text.
func (s session) printed(text string) bool { return strings.Contains(s.out.String(), text) }

// Guards against publishing unchanged sections or removing services that are not in the
// file.
func TestPublishSendsOnlyChangedSections(t *testing.T) {
	is := is.New(t)
	log := newLog()
	s := newSession(log)
	is.NoErr(s.publish(plumecast+stationlog, nil))
	is.True(s.printed("2 sections"))
	is.True(s.printed("accepted at version 1"))

	is.NoErr(s.publish(stationlog+"\n\n"+plumecast, nil)) // other order, same sections
	is.True(s.printed("nothing to publish: version 1"))

	is.NoErr(s.publish(strings.Replace(stationlog, "true", "true # read", 1), nil)) // a file with one service
	is.True(s.printed("service plumecast: in force but not in the file, kept"))
	is.True(s.printed("1 sections"))
	state, err := config.ReadState(context.Background(), log)
	is.NoErr(err)
	is.Equal(state.Version(), uint64(2))
	kept, _ := state.Section("plumecast")
	is.Equal(kept.Text, plumecast)
	is.Equal(kept.Version, uint64(1))
}

// Guards against writing an invalid publication to the log.
func TestInvalidPublicationIsNotWritten(t *testing.T) {
	is := is.New(t)
	log := newLog()
	s := newSession(log)
	is.NoErr(s.publish(plumecast+stationlog, nil))
	for name, c := range map[string]struct {
		text   string
		change func(*Publication)
		code   int
		output string
	}{
		"syntax":             {"service {", nil, ExitRefused, "f.hcl:1"},
		"broken by file":     {"\n\n" + strings.Replace(plumecast, "history", "latest", 1), nil, ExitRefused, "f.hcl:7: plumecast.forecast depends on the unknown operation"},
		"broken in force":    {strings.ReplaceAll(stationlog, "history", "latest"), nil, ExitRefused, "section plumecast:5: "},
		"delete of a callee": {plumecast, func(p *Publication) { p.Delete = []string{"stationlog"} }, ExitRefused, "f.hcl:5: plumecast.forecast depends on the unknown service"},
		"delete of nothing":  {plumecast, func(p *Publication) { p.Delete = []string{"alertdesk"} }, ExitRefused, ""},
		"delete and publish": {plumecast, func(p *Publication) { p.Delete = []string{"plumecast"} }, ExitUsage, ""},
	} {
		err := s.publish(c.text, c.change)
		if ExitCode(err) != c.code || !s.printed(c.output) {
			t.Errorf("%s: exit code %d (%v), output:\n%s", name, ExitCode(err), err, s.out)
		}
	}
	page, err := log.Read(context.Background(), config.Stream, 0, 10)
	is.NoErr(err)
	is.Equal(page.Next, uint64(1)) // only the first publication
}

// Guards against --delete or --whole without effect.
func TestDeleteAndWhole(t *testing.T) {
	is := is.New(t)
	s := newSession(newLog())
	is.NoErr(s.publish(plumecast+stationlog, nil))
	is.NoErr(s.publish(stationlog, func(p *Publication) { p.Delete = []string{"plumecast"} }))
	is.True(s.printed("service plumecast: removed; in force since version 1, by aino"))
	is.True(s.printed("accepted at version 2"))
	is.NoErr(s.publish(plumecast+stationlog, func(p *Publication) { p.Whole = true }))
	is.True(s.printed("accepted at version 3"))
}

// raceLog calls beforeAppend once before an append, so that another operator can publish
// after the first one has read the log.
type raceLog struct {
	applog.Log
	beforeAppend func()
}

func (l *raceLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if beforeAppend := l.beforeAppend; beforeAppend != nil {
		l.beforeAppend = nil
		beforeAppend()
	}
	return l.Log.Append(ctx, stream, data)
}

// Guards against a publication that overwrites a concurrent one of the same service, and
// against an error that doesn't name the other operator.
func TestConcurrentPublicationIsRejected(t *testing.T) {
	is := is.New(t)
	log := newLog()
	is.NoErr(newSession(log).publish(stationlog, nil))
	race := &raceLog{Log: log}
	race.beforeAppend = func() {
		winner := newSession(log)
		is.NoErr(winner.publish(stationlog+"# by veikko\n", func(p *Publication) { p.Operator = "veikko" }))
	}
	loser := newSession(race)
	err := loser.publish(stationlog+"# by aino\n", nil)
	is.Equal(ExitCode(err), ExitRefused)
	is.True(loser.printed(`rejected: section stationlog is at version 2, published by "veikko"`))
	state, _ := config.ReadState(context.Background(), log)
	section, _ := state.Section("stationlog")
	is.True(strings.HasSuffix(section.Text, "# by veikko\n"))
}

// lostAnswerLog writes appended records but loses the answer and then is unavailable.
type lostAnswerLog struct {
	applog.Log
	cancel context.CancelFunc
}

func (l *lostAnswerLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.Log.Append(ctx, stream, data)
	l.cancel()
	return 0, applog.ErrUnknownOutcome
}

func (l *lostAnswerLog) Read(ctx context.Context, stream string, from uint64, max int) (applog.Page, error) {
	if ctx.Err() != nil {
		return applog.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, max)
}

// Guards against a wrong outcome after the answer to an append is lost. The outcome is
// unknown until the operator publishes again with the id.
func TestUnknownOutcomeIsSettledByID(t *testing.T) {
	is := is.New(t)
	log := newLog()
	ctx, cancel := context.WithCancel(context.Background())
	s := newSession(&lostAnswerLog{log, cancel})
	p := Publication{Text: Text{"f.hcl", []byte(stationlog)}, Operator: "aino", ID: "p-1"}
	err := s.Publish(ctx, p)
	is.Equal(ExitCode(err), ExitFailed)
	is.True(errors.Is(err, config.ErrOutcomeUnknown))
	is.True(s.printed("--id p-1"))

	again := newSession(log)
	is.NoErr(again.Publish(context.Background(), p))
	is.True(again.printed("accepted at version 1 (settled by an earlier run)"))
}

// Guards against a diff with wrong lines, gaps or kept services.
func TestDiffShowsLines(t *testing.T) {
	is := is.New(t)
	s := newSession(newLog())
	is.NoErr(s.publish(plumecast+stationlog, nil))
	s.out.Reset()
	changed := strings.Replace(plumecast, "idempotent = true", "deadline = \"1s\"", 1)
	is.NoErr(s.Diff(context.Background(), Text{"f.hcl", []byte(changed)}, nil))
	is.Equal(s.out.String(), `in force: version 1
service plumecast: changed; in force since version 1, by aino
      (1 unchanged lines)
      service "plumecast" {
        operation "forecast" {
    -     idempotent = true
    +     deadline = "1s"
          calls = ["stationlog.history"]
        }
      (1 unchanged lines)
service stationlog: in force but not in the file, kept (--delete stationlog takes it out)
`)
}
