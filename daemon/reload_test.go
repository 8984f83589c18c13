package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/platform"
)

const settingsText = `
node-id: "m1"
ip: "10.0.0.1"
zone: "a"
region: "r"
listen: {inbound: "10.0.0.1:1", outbound: "10.0.0.1:2", ready: "10.0.0.1:3", control: "10.0.0.1:4"}
internal-ports: [5, 9]
bounds: ["drain-s=2", "grace-s=6", "retry-budget-ratio=0.2", "new-one=true"]
app-addr: "10.0.0.1:6"
service: "s"
platform: {address: "10.0.0.2:7", keep_s: 20}
`

// Guards against applying invalid settings, and against a SIGHUP that terminates the
// process.
func TestReloadAppliesOnlyValidSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	writeFile := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	writeFile(settingsText)
	s, err := platform.ReadSettings(path)
	is.NoErr(err)

	applied := make(chan platform.Settings, 4)
	r := newReloader(path, s, notifyHangups(), func(s platform.Settings) []string { applied <- s; return nil }, zerolog.Nop())
	writeFile(strings.Replace(settingsText, `"10.0.0.1:2"`, `"nowhere"`, 1))
	r.reload("test")
	is.Equal(len(applied), 0)
	is.Equal(r.inForce, s)

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.run(ctx) }()
	writeFile(strings.Replace(settingsText, "drain-s=2", "drain-s=3", 1))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.Equal((<-applied).Bounds.DrainTime.Seconds(), 3.0)
	cancel()
	<-done
}

// Guards against a SIGHUP during the start that terminates the process or is lost.
func TestHangupDuringStartIsHandled(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte(settingsText), 0o600))
	s, err := platform.ReadSettings(path)
	is.NoErr(err)
	hup := notifyHangups()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(settingsText, "grace-s=6", "grace-s=9", 1)), 0o600))
	applied := make(chan platform.Settings, 1)
	r := newReloader(path, s, hup, func(s platform.Settings) []string { applied <- s; return nil }, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.run(ctx) }()
	is.Equal((<-applied).Bounds.StopGrace.Seconds(), 9.0)
	cancel()
	<-done
}
