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

// visitor is what is known of who sent a request.
type visitor struct {
	// workspace is nil if the request needs none and names none.
	workspace *workspace.Workspace
	// token is what let the request in, if its workspace has a quota.
	token   quota.Token
	counted bool
}

func (v visitor) name() string {
	if v.workspace == nil {
		return ""
	}
	return v.workspace.Name
}

// authorize decides whether the key of a request lets it in: whether the key is known, by a
// configuration that cannot lack its withdrawal, and whether its workspace may send
// another request.
func (n *Node) authorize(ctx context.Context, route *routes.Route, key string) (visitor, *verdict.Error) {
	if n.routing.table().Workspaces == nil {
		return visitor{}, nil
	}
	// Also for a key that is not known: it may be newer than the configuration.
	if err := n.awaitFresh(ctx); err != nil && !route.Open {
		return visitor{}, err
	}
	// The version that is in force after the proof of its age, not one from before.
	table := n.routing.table()
	w, known := table.Workspaces.Find(key)
	switch {
	case !known && route.Open:
		return visitor{}, nil
	case !known:
		return visitor{}, verdict.Refuse(verdict.Unauthorized, "no workspace has this key in version %d", table.Version)
	case !w.Quota.Limited() || n.cfg.Quota.Parts == 0:
		return visitor{workspace: w}, nil
	}
	token, err := n.awaitToken(ctx, w.Name)
	if err != nil {
		return visitor{}, err
	}
	return visitor{workspace: w, token: token, counted: true}, nil
}

// leaveToken gives the token of a request back that has not run.
func (n *Node) leaveToken(v visitor, out call.Outcome) {
	if v.counted && out.Verdict == verdict.NotRun {
		n.quotas.giveBack(v.token)
	}
}

// noteRefused notes a request that was refused for its key or its workspace.
func (n *Node) noteRefused(in entry.Incoming, version uint64, err *verdict.Error) {
	n.notes.Note(time.Now(), explain.Event{
		RequestID: in.RequestID, Step: explain.Refused, Verdict: err.Verdict.String(), Reason: err.Reason,
		Detail: err.Detail, RetryAfter: err.RetryAfter, Version: version,
	})
}
