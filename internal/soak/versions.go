package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/platform/standin"
)

const (
	// applyWithin is the time in which a confirmed version must be in force, by the
	// settings of the machines.
	applyWithin = 2 * time.Second
	// calmAfter is how long after its start a node must keep to that.
	calmAfter = 3 * time.Second
	// versionsEvery is the time between versions in quick succession.
	versionsEvery = 300 * time.Millisecond
	// versionsFor is how long they come, and are asked for, after a node must keep to them.
	versionsFor = 1500 * time.Millisecond
	// rewriteAfter is how long after the store came back from an older copy the operator
	// writes again what was lost.
	rewriteAfter = 300 * time.Millisecond
)

// published is a version and when the store confirmed it.
type published struct {
	version   uint64
	confirmed time.Time
}

// versionPath is of a route that one version alone has.
func versionPath(version uint64) string { return "/v" + strconv.FormatUint(version, 10) + "/" }

// publish writes the next version.
func (w *world) publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last.version++
	if err := w.put(); err != nil {
		return err
	}
	w.taken[w.last.version-1] = w.last.confirmed
	return nil
}

// put writes the last version; the caller holds the lock.
func (w *world) put() error {
	text, err := standin.ManifestText(w.last.version, []standin.Route{
		{Name: "top", Host: host, Prefix: "/top/", Service: topService, Idempotent: true, Priority: 1},
		{Name: "top-once", Host: host, Prefix: "/once/", Service: topService},
		{Name: "end", Host: host, Prefix: "/end/", Service: endService, Idempotent: true, Priority: 2},
		{Name: "version", Host: host, Prefix: versionPath(w.last.version), Service: endService, Idempotent: true, Priority: 2},
	}, workspaces(w.last.version)...)
	if err != nil {
		return err
	}
	w.store.PublishManifest(text)
	w.last.confirmed = time.Now()
	return nil
}

// restore lets the store be away for a moment and come back from a copy made a while
// before; then the operator writes again what was lost.
func (w *world) restore(ctx context.Context, d time.Duration) error {
	older := w.store.Snapshot()
	pause.For(ctx, d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.SetFault(standin.Busy)
	pause.For(ctx, rewriteAfter)
	w.store.Restore(older)
	w.store.SetFault(standin.NoFault)
	pause.For(ctx, rewriteAfter)
	return w.put()
}

// keepsUp checks that the newest version is in force everywhere in time.
func (w *world) keepsUp(ctx context.Context) error {
	if err := w.publish(); err != nil {
		return err
	}
	pause.For(ctx, time.Until(w.newest().confirmed.Add(applyWithin)))
	w.askVersion(ctx, w.newest())
	return nil
}

// startsAmongVersions kills all nodes and publishes versions in quick succession while they
// start; each node must keep up with them soon after.
func (w *world) startsAmongVersions(ctx context.Context) error {
	for _, b := range w.boxes {
		if err := b.node.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, b := range w.boxes {
		if err := w.restart(ctx, b); err != nil {
			return err
		}
	}
	started := time.Now()
	var all []published
	for time.Since(started) < calmAfter+versionsFor && ctx.Err() == nil {
		if err := w.publish(); err != nil {
			return err
		}
		all = append(all, w.newest())
		pause.For(ctx, versionsEvery)
		if time.Since(started) >= calmAfter {
			w.askSince(ctx, all)
		}
	}
	return nil
}

// askSince asks for the newest version that must be in force by now.
func (w *world) askSince(ctx context.Context, all []published) {
	for i := len(all) - 1; i >= 0; i-- {
		if time.Since(all[i].confirmed) >= applyWithin {
			w.askVersion(ctx, all[i])
			return
		}
	}
}

// askVersion asks every node for the version in force there. One that answers by an older
// version breaks the promise; a newer one has the route of that version no more.
func (w *world) askVersion(ctx context.Context, due published) {
	c := newHTTP()
	defer c.CloseIdleConnections()
	for _, b := range w.boxes {
		if got := w.inForce(ctx, c, b, due.version); got < due.version {
			w.noteBroken(Broken{Promise: "a version is in force in time",
				What: fmt.Sprintf("%s answers by version %d, %d was confirmed %v before", b.Name, got, due.version, time.Since(due.confirmed).Round(time.Millisecond))})
		}
	}
}

// inForce is the version by which a node answers: the first from least on whose route it
// knows, zero if that is none.
func (w *world) inForce(ctx context.Context, c *http.Client, b *box, least uint64) uint64 {
	for version := least; version <= w.newest().version; version++ {
		a := standin.SendRequest(ctx, c, b.Machine, standin.Request{Method: http.MethodPost, Host: host,
			Path: versionPath(version) + "x", ID: fmt.Sprintf("version-%d-%s", version, b.Name), Key: calmKey, Timeout: clientTimeout})
		if a.Status != http.StatusNotFound {
			return version
		}
	}
	return 0
}

func (w *world) newest() published {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

func (w *world) noteBroken(b Broken) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, b)
}
