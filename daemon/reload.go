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

// filePollInterval is the interval of checks whether the settings file has changed,
// since it may change without a signal.
const filePollInterval = 2 * time.Second

// reloader reads the settings file again on SIGHUP and when the file has changed.
// Without a handler SIGHUP would terminate the process and its requests in flight.
type reloader struct {
	path    string
	inForce platform.Settings
	// apply puts valid settings in force and returns the names of those that
	// need a restart.
	apply func(platform.Settings) []string
	log   zerolog.Logger
	// lastModified is the modification time of the file that was read last.
	lastModified time.Time
	hup          hangups
}

// hangups receives SIGHUP signals.
type hangups chan os.Signal

// notifyHangups begins to handle SIGHUP. It must be called first in a process, since
// a SIGHUP before it terminates the process.
func notifyHangups() hangups {
	hup := make(hangups, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

func newReloader(path string, s platform.Settings, hup hangups, apply func(platform.Settings) []string, log zerolog.Logger) *reloader {
	r := &reloader{path: path, inForce: s, hup: hup, apply: apply, log: log}
	r.lastModified = r.modified()
	return r
}

// run reloads the settings until ctx is done.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.lastModified = r.modified()
			r.reload("SIGHUP")
		case <-ticker.C:
			if at := r.modified(); !at.Equal(r.lastModified) {
				r.lastModified = at
				r.reload("the file changed")
			}
		}
	}
}

// modified returns the modification time of the file. It is zero if the file is not
// accessible, so that the file is read again once it is.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file, validates it and applies it. If the file is not valid, the
// settings in force stay.
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
