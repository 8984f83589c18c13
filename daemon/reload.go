package daemon

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/platform"
)

// fileCheck is how often the settings file is looked at: it may change without
// a signal. One look costs a few microseconds.
const fileCheck = 2 * time.Second

// reloader reads the settings file again on SIGHUP and when the file has
// changed. Without a handler SIGHUP ends a Go program, and every request in
// flight with it.
type reloader struct {
	path    string
	inForce platform.Settings
	// apply puts checked settings in force; what it returns needs a restart.
	apply func(platform.Settings) []string
	log   zerolog.Logger
	// seen is when the file last changed.
	seen time.Time
	hup  hangups
}

// hangups gets SIGHUP.
type hangups chan os.Signal

// catchHangups has to be called before anything that takes time: a signal that
// comes while a node starts would end it.
func catchHangups() hangups {
	hup := make(hangups, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func newReloader(path string, s platform.Settings, hup hangups, apply func(platform.Settings) []string, log zerolog.Logger) *reloader {
	r := &reloader{path: path, inForce: s, hup: hup, apply: apply, log: log}
	r.seen = r.modified()
	return r
}

// run reloads until the context ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(fileCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.seen = r.modified()
			r.reload("SIGHUP")
		case <-ticker.C:
			if at := r.modified(); !at.Equal(r.seen) {
				r.seen = at
				r.reload("the file changed")
			}
		}
	}
}

// modified is when the file changed; the zero time while it cannot be looked
// at, so that it is read again once it can.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload checks the file like a start does. A wrong one leaves the settings in
// force as they are.
func (r *reloader) reload(why string) {
	next, err := platform.ReadSettings(r.path)
	if err != nil {
		r.log.Error().Err(err).Str("why", why).Msg("settings refused: those in force stay")
		return
	}
	if reflect.DeepEqual(next, r.inForce) {
		r.log.Info().Str("why", why).Msg("settings unchanged")
		return
	}
	restart := r.apply(next)
	r.inForce = next
	r.log.Info().Str("why", why).Strs("needs_restart", restart).Msg("settings reloaded")
}
