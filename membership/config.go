package membership

import "time"

// Config of the membership of one node. All nodes of an installation should
// use the same values.
type Config struct {
	// ProbeInterval is the time between two probes that a node starts. One
	// second finds a dead member after 1.6 s on average at any size, for
	// one ping and one ack a second.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take, with the connection
	// that may have to be opened: three round trips between regions.
	ProbeTimeout time.Duration
	// IndirectTimeout is how long the indirect probes may take after that.
	IndirectTimeout time.Duration
	// IndirectProbes is the number of peers asked: three leave a false
	// suspicion at 1% loss to four losses in a row.
	IndirectProbes int
	// SuspicionFactor times log10(members+1) times ProbeInterval is how
	// long a suspect has to refute. Three leave time for the suspicion to
	// reach it and for the refutation to come back, several times over.
	SuspicionFactor float64
	// MaxHealthPenalty bounds how many times a node stretches its timeouts
	// when it hears from nobody and is probably itself at fault.
	MaxHealthPenalty int

	// GossipInterval and GossipFanout: while there is news, it goes to
	// GossipFanout peers each interval. Without news nothing is sent.
	GossipInterval time.Duration
	GossipFanout   int
	// GossipBytes bounds the news in one message. With the two above it
	// bounds the bytes a second of a node in any storm: 5 a second times 3
	// times 1,000 = 15 KB/s.
	GossipBytes int
	// PiggybackBytes bounds the news on a ping or an ack.
	PiggybackBytes int
	// RetransmitFactor times ceil(log10(members+1)) is how often a node
	// passes on one piece of news. Three make 12 at 3,500 members, so that
	// on average 6 in a million miss it; repair reaches those.
	RetransmitFactor int
	// RecentFor and MaxRecent: gossip and indirect probes go through peers
	// heard from within this time, whose connections are still open. The
	// shell must keep an idle connection a little longer than RecentFor.
	RecentFor time.Duration
	MaxRecent int

	// RepairInterval is the time between two comparisons of digests with a
	// random peer. RepairAgain follows one that left differences.
	RepairInterval time.Duration
	RepairAgain    time.Duration
	// RepairEntries and RepairRecords bound one answer: 22 and about 110
	// bytes each.
	RepairEntries int
	RepairRecords int
	// RepairBytesPerSecond and RepairBurst bound what one node sends in
	// repairs. The burst is one answer: a node that joins takes its table
	// from many.
	RepairBytesPerSecond int
	RepairBurst          int

	// ReconnectInterval is the time between two attempts to reach a dead
	// member, in case it was only cut off; ReconnectFor ends them. 3,500
	// nodes make 700 attempts a second against a lost region.
	ReconnectInterval time.Duration
	ReconnectFor      time.Duration
	// TombstoneFor is how long a member that is gone is remembered, so that
	// late gossip cannot bring it back.
	TombstoneFor time.Duration
	// MaxMembers bounds the table, tombstones included.
	MaxMembers int

	// VerifyPerSecond bounds the extra probes of members that a peer holds
	// for dead or that the shell failed to reach.
	VerifyPerSecond int
	// MaxStep is the longest time that one Tick lets pass. A node that was
	// paused, or whose clock jumped, must not see all its timeouts expire
	// at once and suspect everybody: half the time of a probe leaves the
	// answers that wait for it time to be read.
	MaxStep time.Duration

	// JoinInterval is the time between attempts to reach a first peer, and
	// JoinAddrs the addresses tried in each.
	JoinInterval time.Duration
	JoinAddrs    int
	// MaxSeeds bounds the addresses kept from the log and the settings.
	MaxSeeds int
	// AnnounceWithin is how long a node without a peer waits at most before
	// it announces itself in the log. Most wait nearly that long, so that at
	// a start of all nodes a few announce and the others find those.
	AnnounceWithin time.Duration
	// Retention is how long the log keeps records. The seeds of each data
	// centre announce again four times within it.
	Retention time.Duration
	// SeedsPerDataCentre is the number of nodes that do so.
	SeedsPerDataCentre int
	// SeedsReadInterval is how often seeds read the log for nodes that they
	// do not know: islands that formed apart find each other.
	SeedsReadInterval time.Duration
	// AnnounceRecords is the number of addresses in one announcement.
	AnnounceRecords int
}

// DefaultConfig returns the values that docs/CAPACITY.md was measured with.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    time.Second,
		ProbeTimeout:     700 * time.Millisecond,
		IndirectTimeout:  1300 * time.Millisecond,
		IndirectProbes:   3,
		SuspicionFactor:  3,
		MaxHealthPenalty: 4,

		GossipInterval:   200 * time.Millisecond,
		GossipFanout:     3,
		GossipBytes:      1000,
		PiggybackBytes:   300,
		RetransmitFactor: 3,
		RecentFor:        15 * time.Second,
		MaxRecent:        48,

		RepairInterval: 30 * time.Second,
		RepairAgain:    500 * time.Millisecond,
		RepairEntries:  256,
		RepairRecords:  180,

		RepairBytesPerSecond: 4000,
		RepairBurst:          20000,

		ReconnectInterval: 5 * time.Second,
		ReconnectFor:      30 * time.Minute,
		TombstoneFor:      6 * time.Hour,
		MaxMembers:        20000,

		VerifyPerSecond: 4,
		MaxStep:         time.Second,

		JoinInterval:       time.Second,
		JoinAddrs:          3,
		MaxSeeds:           64,
		AnnounceWithin:     4 * time.Second,
		Retention:          time.Hour,
		SeedsPerDataCentre: 3,
		SeedsReadInterval:  time.Minute,
		AnnounceRecords:    8,
	}
}
