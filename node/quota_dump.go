package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/quota"
)

// WorkspacesState is what the node knows of workspaces, for people. It holds no key.
type WorkspacesState struct {
	// Count is the number of workspaces, zero if requests need no keys.
	Count int `json:"count"`
	// Proved says that the configuration was known to be the newest, ProofAgeMs ago.
	Proved     bool  `json:"proved"`
	ProofAgeMs int64 `json:"proof_age_ms,omitempty"`
	// Generation and Parts are this node's leases.
	Generation uint64 `json:"lease_generation,omitempty"`
	Parts      []int  `json:"owned_parts,omitempty"`
	// Accounts are those of the workspaces that it owns, the shortest first.
	Accounts []quota.AccountState `json:"accounts,omitempty"`
	// Owners are what it has heard of others.
	Owners []quota.Claim `json:"owners,omitempty"`
	// Asking is the number of questions under way.
	Asking int `json:"asking"`
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
		s.Generation, s.Parts = q.tenure.Generation(), q.tenure.Parts(now)
		s.Accounts = q.bank.Dump()
		s.Owners = q.owners.Claims()
		s.Asking = len(q.asks)
	})
	slices.SortFunc(s.Accounts, func(a, b quota.AccountState) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.Workspace, b.Workspace))
	})
	s.Accounts = s.Accounts[:min(len(s.Accounts), maxAccounts)]
	return s
}

// proofAge is the time since the configuration was known to be the newest, zero if it
// never was.
func (q *quotas) proofAge() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	age, _ := q.proof.Age(q.clock())
	return age
}
