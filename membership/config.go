package membership

import "time"

// Config configures the membership of one node. All nodes of a cluster should
// use the same values.
type Config struct {
	// ProbeInterval is the time between two probes. One second finds a dead
	// member after 1.6 s on average at any size, for one ping and one ack a second.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe, including the time to open a
	// connection to another region: three round trips.
	ProbeTimeout time.Duration
	// IndirectTimeout bounds the indirect probes that follow.
	IndirectTimeout time.Duration
	// IndirectProbes is the number of peers asked for an indirect probe. With
	// three, a false suspicion at 1% loss takes four losses in a row.
	IndirectProbes int
	// SuspicionFactor times log10(members+1) times ProbeInterval is how long a
	// suspect has to refute: long enough for the suspicion to reach it and the
	// refutation to spread.
	SuspicionFactor float64
	// MaxHealthPenalty bounds the health penalty p. Timeouts are multiplied by
	// 1+p while the node is probably itself at fault.
	MaxHealthPenalty int

	// While rumors are queued, a node sends them to GossipFanout peers every
	// GossipInterval.
	GossipInterval time.Duration
	GossipFanout   int
	// GossipBytes bounds the rumors in one gossip message. With GossipInterval
	// and GossipFanout it bounds a node's gossip bytes per second: 5 a second
	// times 3 times 1,000 are 15 KB/s.
	GossipBytes int
	// PiggybackBytes bounds the rumors on a ping or an ack.
	PiggybackBytes int
	// RetransmitFactor times ceil(log10(members+1)) is how often a node sends
	// one rumor. Three make 12 at 3,500 members, so that on average 6 in a
	// million miss it; repair reaches those.
	RetransmitFactor int
	// Gossip and indirect probes prefer up to MaxRecent peers that sent a
	// message within RecentPeerTTL. The shell must keep idle connections open a
	// little longer than RecentPeerTTL.
	RecentPeerTTL time.Duration
	MaxRecent     int

	// RepairInterval is the time between two repairs with a random peer.
	// RepairRetryInterval is the time to the next one after a truncated answer.
	RepairInterval      time.Duration
	RepairRetryInterval time.Duration
	// RepairEntries and RepairRecords bound the entries and records in one
	// answer.
	RepairEntries int
	RepairRecords int
	// RepairBytesPerSecond and RepairBurst, in bytes, bound what a node sends
	// in repairs. The burst is about one answer; a joining node fetches its
	// table from many peers.
	RepairBytesPerSecond int
	RepairBurst          int

	// ReconnectInterval is the time between two probes of failed members,
	// which may only have been cut off. ReconnectWindow is how long after its
	// failure a member is probed. 3,500 nodes make 700 probes a second against a
	// lost region.
	ReconnectInterval time.Duration
	ReconnectWindow   time.Duration
	// TombstoneTTL is how long the tombstone of a gone member is kept, so that
	// late gossip does not add the member again.
	TombstoneTTL time.Duration
	// MaxMembers bounds the table, tombstones included.
	MaxMembers int

	// VerifyPerSecond bounds the extra probes of members that a peer marked
	// failed or that the shell could not reach.
	VerifyPerSecond int
	// MaxClockStep bounds how far one call moves the clock. Otherwise, after a
	// pause or a clock jump, all timeouts would expire at once and the node
	// would suspect everybody. It is about half the time of a probe, so that
	// waiting acks are read before the probe fails.
	MaxClockStep time.Duration

	// JoinInterval is the time between two attempts to reach a first peer.
	// Each attempt dials JoinAddrs addresses.
	JoinInterval time.Duration
	JoinAddrs    int
	// MaxSeeds bounds the addresses of possible first peers that are kept.
	MaxSeeds int
	// MaxAnnounceWait is the longest wait of a node without peers before it
	// first announces itself in the log. Most nodes wait nearly that long, so
	// that at a start of all nodes a few announce and the others find those.
	MaxAnnounceWait time.Duration
	// Retention is how long the log keeps records. Seeds announce several
	// times within it.
	Retention time.Duration
	// SeedsPerDataCentre is the number of nodes of each data centre that act
	// as seeds.
	SeedsPerDataCentre int
	// SeedReadInterval is the time between a seed's reads of the log. Seeds
	// look for unknown nodes, to merge clusters that formed apart.
	SeedReadInterval time.Duration
	// AnnounceRecords is the number of addresses in one announcement.
	AnnounceRecords int
}

// DefaultConfig returns the default values.
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
		RecentPeerTTL:    15 * time.Second,
		MaxRecent:        48,

		RepairInterval:      30 * time.Second,
		RepairRetryInterval: 500 * time.Millisecond,
		RepairEntries:       256,
		RepairRecords:       180,

		RepairBytesPerSecond: 4000,
		RepairBurst:          20000,

		ReconnectInterval: 5 * time.Second,
		ReconnectWindow:   30 * time.Minute,
		TombstoneTTL:      6 * time.Hour,
		MaxMembers:        20000,

		VerifyPerSecond: 4,
		MaxClockStep:    time.Second,

		JoinInterval:       time.Second,
		JoinAddrs:          3,
		MaxSeeds:           64,
		MaxAnnounceWait:    4 * time.Second,
		Retention:          time.Hour,
		SeedsPerDataCentre: 3,
		SeedReadInterval:   time.Minute,
		AnnounceRecords:    8,
	}
}
