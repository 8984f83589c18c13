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

// authorize returns the workspace whose key a request bears, nil if it needs none and has
// none. A key is judged by a configuration that cannot lack its withdrawal.
func (n *Node) authorize(ctx context.Context, route *routes.Route, key string) (*workspace.Workspace, *verdict.Error) {
	if n.routing.table().Workspaces == nil || route.Open && key == "" {
		return nil, nil
	}
	// Also for a key that is not known: it may be newer than the configuration.
	if err := n.awaitFresh(ctx); err != nil && !route.Open {
		return nil, err
	}
	// The version that is in force after the proof of its age, not one from before.
	table := n.routing.table()
	w, known := table.Workspaces.Find(key)
	if !known && !route.Open {
		return nil, verdict.Refuse(verdict.Unauthorized, "no workspace has this key in version %d", table.Version)
	}
	return w, nil
}

// quotaUse is what one request takes of its workspace's quota.
type quotaUse struct {
	node      *Node
	workspace *workspace.Workspace
	token     quota.Token
	taken     bool
}

// take takes a token, if the workspace has a quota.
func (u *quotaUse) take(ctx context.Context) *verdict.Error {
	if !u.workspace.Quota.Limited() || u.node.cfg.Quota.Parts == 0 {
		return nil
	}
	token, err := u.node.awaitToken(ctx, u.workspace.Name)
	if err != nil {
		return err
	}
	u.token, u.taken = token, true
	return nil
}

// settle gives the token of a request back that has not run.
func (u *quotaUse) settle(out call.Outcome) {
	if u.taken && out.Verdict == verdict.NotRun {
		u.node.quotas.giveBack(u.token)
	}
}

// noteRefused notes a request that was refused for its key or its workspace.
func (n *Node) noteRefused(in entry.Incoming, version uint64, err *verdict.Error) {
	n.notes.Note(time.Now(), explain.Event{
		RequestID: in.RequestID, Step: explain.Refused, Verdict: err.Verdict.String(), Reason: err.Reason,
		Detail: err.Detail, RetryAfter: err.RetryAfter, Version: version,
	})
}
