package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/quota"
)

// WorkspacesState describes the workspaces and quotas of a node for operators. It contains
// no keys.
type WorkspacesState struct {
	// Count is the number of workspaces, zero if requests need no keys.
	Count int `json:"count"`
	// Proved says that the node has a freshness proof, which is ProofAgeMs old.
	Proved     bool  `json:"proved"`
	ProofAgeMs int64 `json:"proof_age_ms,omitempty"`
	// Generation and Parts describe the lease of this node. SharedParts are those of Parts
	// that another node may still use.
	Generation  uint64 `json:"lease_generation,omitempty"`
	Parts       []int  `json:"owned_parts,omitempty"`
	SharedParts []int  `json:"shared_parts,omitempty"`
	// Accounts are those of the workspaces that it owns, fewest tokens first.
	Accounts []quota.AccountState `json:"accounts,omitempty"`
	// Owners are the ownership claims that it knows.
	Owners []quota.Claim `json:"owners,omitempty"`
	// PendingRequests is the number of quota requests that await an answer.
	PendingRequests int `json:"asking"`
}

// maxAccounts bounds the accounts in a dump.
const maxAccounts = 100

func (n *Node) dumpWorkspaces() WorkspacesState {
	var s WorkspacesState
	if table := n.routing.table(); table != nil && table.Workspaces != nil {
		s.Count = table.Workspaces.Len()
	}
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		if age, proved := q.proof.Age(now); proved {
			s.Proved, s.ProofAgeMs = true, age.Milliseconds()
		}
		s.Generation, s.Parts, s.SharedParts = q.leaseTerm.Generation(), q.leaseTerm.Parts(now), q.leaseTerm.SharedParts(now)
		s.Accounts = q.issuer.Dump()
		s.Owners = q.owners.Claims()
		s.PendingRequests = len(q.requests)
	})
	slices.SortFunc(s.Accounts, func(a, b quota.AccountState) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.Workspace, b.Workspace))
	})
	s.Accounts = s.Accounts[:min(len(s.Accounts), maxAccounts)]
	return s
}

// proofAge returns the age of the freshness proof, zero if there is none.
func (q *quotas) proofAge() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	age, _ := q.proof.Age(q.clock())
	return age
}
