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
	// applyTimeout is the time within which a confirmed version must be in force
	// at every node; the machines' settings promise it.
	applyTimeout = 2 * time.Second
	// settleTime is the time after its start from which a node must meet applyTimeout.
	settleTime = 3 * time.Second
	// publishInterval is the time between two versions of checkStartDuringUpdates.
	publishInterval = 300 * time.Millisecond
	// publishPeriod is the time after settleTime in which versions are published and checked.
	publishPeriod = 1500 * time.Millisecond
	// rewriteDelay is the time from the store's restore to the operator's rewrite of what
	// was lost; the store is also busy for this time before the restore.
	rewriteDelay = 300 * time.Millisecond
)

// publishedVersion is a version and the time at which the store confirmed it.
type publishedVersion struct {
	version     uint64
	confirmedAt time.Time
}

// versionPath returns the prefix of the route that only this version has.
func versionPath(version uint64) string { return "/v" + strconv.FormatUint(version, 10) + "/" }

// publish writes the next version to the store.
func (e *env) publish() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastVersion.version++
	if err := e.putLastVersion(); err != nil {
		return err
	}
	e.revoked[e.lastVersion.version-1] = e.lastVersion.confirmedAt
	return nil
}

// putLastVersion writes the last version to the store. The caller holds the lock.
func (e *env) putLastVersion() error {
	text, err := standin.ManifestText(e.lastVersion.version, []standin.Route{
		{Name: "top", Host: routeHost, Prefix: "/top/", Service: topService, Idempotent: true, Priority: 1},
		{Name: "top-once", Host: routeHost, Prefix: "/once/", Service: topService},
		{Name: "end", Host: routeHost, Prefix: "/end/", Service: endService, Idempotent: true, Priority: 2},
		{Name: "version", Host: routeHost, Prefix: versionPath(e.lastVersion.version), Service: endService, Idempotent: true, Priority: 2},
	}, workspaces(e.lastVersion.version)...)
	if err != nil {
		return err
	}
	e.store.PublishManifest(text)
	e.lastVersion.confirmedAt = time.Now()
	return nil
}

// restore restores the store from a copy that is d old, after a short outage, and then
// writes the last version again, as the operator does.
func (e *env) restore(ctx context.Context, d time.Duration) error {
	older := e.store.Snapshot()
	pause.For(ctx, d)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.SetFault(standin.Busy)
	pause.For(ctx, rewriteDelay)
	e.store.Restore(older)
	e.store.SetFault(standin.NoFault)
	pause.For(ctx, rewriteDelay)
	return e.putLastVersion()
}

// checkNewestVersion publishes a version and checks that it is in force at every node
// within applyTimeout.
func (e *env) checkNewestVersion(ctx context.Context) error {
	if err := e.publish(); err != nil {
		return err
	}
	pause.For(ctx, time.Until(e.newestVersion().confirmedAt.Add(applyTimeout)))
	e.checkVersion(ctx, e.newestVersion())
	return nil
}

// checkStartDuringUpdates kills all nodes and publishes many versions while they start.
// Each node must meet applyTimeout once settleTime has passed.
func (e *env) checkStartDuringUpdates(ctx context.Context) error {
	for _, h := range e.hosts {
		if err := h.node.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, h := range e.hosts {
		if err := e.restart(ctx, h); err != nil {
			return err
		}
	}
	started := time.Now()
	var all []publishedVersion
	for time.Since(started) < settleTime+publishPeriod && ctx.Err() == nil {
		if err := e.publish(); err != nil {
			return err
		}
		all = append(all, e.newestVersion())
		pause.For(ctx, publishInterval)
		if time.Since(started) >= settleTime {
			e.checkDueVersion(ctx, all)
		}
	}
	return nil
}

// checkDueVersion checks the newest of the versions that must be in force by now.
func (e *env) checkDueVersion(ctx context.Context, all []publishedVersion) {
	for i := len(all) - 1; i >= 0; i-- {
		if time.Since(all[i].confirmedAt) >= applyTimeout {
			e.checkVersion(ctx, all[i])
			return
		}
	}
}

// checkVersion adds a violation for each node at which an older version than the due one
// is in force. A node with a newer version meets the promise.
func (e *env) checkVersion(ctx context.Context, due publishedVersion) {
	c := newHTTP()
	defer c.CloseIdleConnections()
	for _, h := range e.hosts {
		if got := e.versionInForce(ctx, c, h, due.version); got < due.version {
			e.addViolation(Broken{Promise: "a version is in force in time",
				What: fmt.Sprintf("%s serves version %d; version %d was confirmed %v before", h.Name, got, due.version, time.Since(due.confirmedAt).Round(time.Millisecond))})
		}
	}
}

// versionInForce returns the version in force at a node: the first version from least on
// whose route the node has, or zero if it has none of them.
func (e *env) versionInForce(ctx context.Context, c *http.Client, h *host, least uint64) uint64 {
	for version := least; version <= e.newestVersion().version; version++ {
		a := standin.SendRequest(ctx, c, h.Machine, standin.Request{Method: http.MethodPost, Host: routeHost,
			Path: versionPath(version) + "x", ID: fmt.Sprintf("version-%d-%s", version, h.Name), Key: calmKey, Timeout: clientTimeout})
		if a.Status != http.StatusNotFound {
			return version
		}
	}
	return 0
}

func (e *env) newestVersion() publishedVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastVersion
}

func (e *env) addViolation(v Broken) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, v)
}
