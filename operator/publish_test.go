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

// session is one operator at work; out collects the reports.
type session struct {
	*Operator
	out *bytes.Buffer
}

func newSession(log applog.Log, nodes ...string) session {
	var out bytes.Buffer
	return session{New(DefaultConfig(), &out, log, nodes), &out}
}

func (s session) publish(text string, change func(*Publication)) error {
	p := Publication{Text: Text{Name: "f.hcl", Data: []byte(text)}, Operator: "aino"}
	if change != nil {
		change(&p)
	}
	s.out.Reset()
	return s.Publish(context.Background(), p)
}

func (s session) said(text string) bool { return strings.Contains(s.out.String(), text) }

func TestPublishSendsOnlyWhatChanged(t *testing.T) {
	is := is.New(t)
	log := newLog()
	s := newSession(log)
	is.NoErr(s.publish(plumecast+stationlog, nil))
	is.True(s.said("2 sections"))
	is.True(s.said("accepted at version 1"))

	is.NoErr(s.publish(stationlog+"\n\n"+plumecast, nil)) // moved, not changed
	is.True(s.said("nothing to publish: version 1"))

	is.NoErr(s.publish(strings.Replace(stationlog, "true", "true # read", 1), nil)) // a file of one service
	is.True(s.said("service plumecast: in force but not in the file, kept"))
	is.True(s.said("1 sections"))
	state, err := config.ReadState(context.Background(), log)
	is.NoErr(err)
	is.Equal(state.Version(), uint64(2))
	kept, _ := state.Section("plumecast")
	is.Equal(kept.Text, plumecast)
	is.Equal(kept.Version, uint64(1))
}

func TestPublishRefusesBeforeItWrites(t *testing.T) {
	is := is.New(t)
	log := newLog()
	s := newSession(log)
	is.NoErr(s.publish(plumecast+stationlog, nil))
	for name, c := range map[string]struct {
		text   string
		change func(*Publication)
		code   int
		says   string
	}{
		"syntax":             {"service {", nil, ExitRefused, "f.hcl:1"},
		"broken by file":     {"\n\n" + strings.Replace(plumecast, "history", "latest", 1), nil, ExitRefused, "f.hcl:7: plumecast.forecast depends on the unknown operation"},
		"broken in force":    {strings.ReplaceAll(stationlog, "history", "latest"), nil, ExitRefused, "section plumecast:5: "},
		"delete of a callee": {plumecast, func(p *Publication) { p.Delete = []string{"stationlog"} }, ExitRefused, "f.hcl:5: plumecast.forecast depends on the unknown service"},
		"delete of nothing":  {plumecast, func(p *Publication) { p.Delete = []string{"alertdesk"} }, ExitRefused, ""},
		"delete and publish": {plumecast, func(p *Publication) { p.Delete = []string{"plumecast"} }, ExitUsage, ""},
	} {
		err := s.publish(c.text, c.change)
		if ExitCode(err) != c.code || !s.said(c.says) {
			t.Errorf("%s: exit code %d (%v), said:\n%s", name, ExitCode(err), err, s.out)
		}
	}
	page, err := log.Read(context.Background(), config.Stream, 0, 10)
	is.NoErr(err)
	is.Equal(page.Next, uint64(1)) // the first publication only
}

func TestDeleteAndWhole(t *testing.T) {
	is := is.New(t)
	s := newSession(newLog())
	is.NoErr(s.publish(plumecast+stationlog, nil))
	is.NoErr(s.publish(stationlog, func(p *Publication) { p.Delete = []string{"plumecast"} }))
	is.True(s.said("service plumecast: removed; in force since version 1, by aino"))
	is.True(s.said("accepted at version 2"))
	is.NoErr(s.publish(plumecast+stationlog, func(p *Publication) { p.Whole = true }))
	is.True(s.said("accepted at version 3"))
}

// raceLog lets another operator publish between the read of what is in force
// and the append that was decided on it.
type raceLog struct {
	applog.Log
	once func()
}

func (l *raceLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if once := l.once; once != nil {
		l.once = nil
		once()
	}
	return l.Log.Append(ctx, stream, data)
}

// Two operators change the same service at the same moment. Both have read the
// same version; one record comes first in the log and wins. The other operator
// must hear that nothing of his is in force and who won, and must not undo
// the winner's change by another attempt of his own.
func TestLoserOfARaceHearsWhoWon(t *testing.T) {
	is := is.New(t)
	log := newLog()
	is.NoErr(newSession(log).publish(stationlog, nil))
	race := &raceLog{Log: log}
	race.once = func() {
		winner := newSession(log)
		is.NoErr(winner.publish(stationlog+"# by veikko\n", func(p *Publication) { p.Operator = "veikko" }))
	}
	loser := newSession(race)
	err := loser.publish(stationlog+"# by aino\n", nil)
	is.Equal(ExitCode(err), ExitRefused)
	is.True(loser.said(`rejected: section stationlog is at version 2, published by "veikko"`))
	state, _ := config.ReadState(context.Background(), log)
	section, _ := state.Section("stationlog")
	is.True(strings.HasSuffix(section.Text, "# by veikko\n"))
}

// cutLog takes appends but does not answer, and then is down.
type cutLog struct {
	applog.Log
	cancel context.CancelFunc
}

func (l *cutLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.Log.Append(ctx, stream, data)
	l.cancel()
	return 0, applog.ErrUnknownOutcome
}

func (l *cutLog) Read(ctx context.Context, stream string, from uint64, max int) (applog.Page, error) {
	if ctx.Err() != nil {
		return applog.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, max)
}

// The answer to the append is lost and the log goes down: the operator hears
// that the outcome is not known, neither "accepted" nor "failed", and an id.
// Publishing with the id later finds the record. Without the id the command
// would see its own change in force and not say that it was this one.
func TestLostAnswerIsSettledByID(t *testing.T) {
	is := is.New(t)
	log := newLog()
	ctx, cancel := context.WithCancel(context.Background())
	s := newSession(&cutLog{log, cancel})
	p := Publication{Text: Text{"f.hcl", []byte(stationlog)}, Operator: "aino", ID: "p-1"}
	err := s.Publish(ctx, p)
	is.Equal(ExitCode(err), ExitFailed)
	is.True(errors.Is(err, config.ErrUnsettled))
	is.True(s.said("--id p-1"))

	again := newSession(log)
	is.NoErr(again.Publish(context.Background(), p))
	is.True(again.said("accepted at version 1 (settled by an earlier run)"))
}

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
