package node

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/workspace"
)

// authorize returns the workspace that the key of a request belongs to, nil if the request
// needs no key and has none. It checks the key only against a configuration that is proven
// fresh, so that a revoked key is not accepted.
func (n *Node) authorize(ctx context.Context, route *routes.Route, key string) (*workspace.Workspace, *verdict.Error) {
	if n.routing.table().Workspaces == nil || route.NoKeyRequired && key == "" {
		return nil, nil
	}
	// An unknown key waits too: it may be newer than the configuration.
	if err := n.awaitFresh(ctx); err != nil && !route.NoKeyRequired {
		return nil, err
	}
	// Read the table after the freshness check: the version may have changed meanwhile.
	table := n.routing.table()
	w, known := table.Workspaces.ByKey(key)
	if !known && !route.NoKeyRequired {
		return nil, verdict.Refuse(verdict.Unauthorized, "no workspace has this key in version %d", table.Version)
	}
	return w, nil
}

// quotaUse is the share of a workspace's quota that one request uses.
type quotaUse struct {
	node      *Node
	workspace *workspace.Workspace
	token     quota.Token
	hasToken  bool
}

// takeToken takes a token if the workspace has a quota, and refuses the request if it gets
// none.
func (u *quotaUse) takeToken(ctx context.Context) *verdict.Error {
	if !u.workspace.Quota.Limited() || u.node.cfg.Quota.Parts == 0 {
		return nil
	}
	token, err := u.node.awaitToken(ctx, u.workspace.Name)
	if err != nil {
		return err
	}
	u.token, u.hasToken = token, true
	return nil
}

// settle returns the token if the request has not run.
func (u *quotaUse) settle(out call.Outcome) {
	if u.hasToken && out.Verdict == verdict.NotRun {
		u.node.quotas.returnToken(u.token)
	}
}

// noteRefused records that a request was refused because of its key or its workspace.
func (n *Node) noteRefused(in entry.Incoming, version uint64, err *verdict.Error) {
	n.notes.Record(time.Now(), explain.Event{
		RequestID: in.RequestID, Step: explain.Refused, Verdict: err.Verdict.String(), Reason: err.Reason,
		Detail: err.Detail, RetryAfter: err.RetryAfter, Version: version,
	})
}
