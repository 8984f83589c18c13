package poison

import "time"

// Config configures a Guard.
type Config struct {
	// SuspectFor is how long a fingerprint stays a suspect after its last copy, unless
	// it is cleared or quarantined before. It should outlast the usual resends of a caller. Most
	// innocent requests are cleared by their next run.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantined request is refused at all nodes.
	// After that a resend can crash two backend servers again: 10 min keep that
	// below the rate of ordinary failures.
	QuarantineFor time.Duration
	// MaxEntries is the maximum number of fingerprints kept at one time. They
	// are the requests in flight of all backend servers that crash within
	// SuspectFor: 4096 hold those of 14 backend servers of 280 slots. Each takes
	// about 200 bytes.
	MaxEntries int
	// MaxQuarantined is the number of quarantined fingerprints from which on no
	// more are accepted from peers. New suspects never evict a quarantined one.
	MaxQuarantined int
	// MaxPerCrash is the maximum number of suspects of one crash and of
	// fingerprints in one notice. It should exceed the concurrency of a backend
	// server.
	MaxPerCrash int
	// MaxHops is the maximum number of times a notice is forwarded. It also
	// ends the forwarding among nodes that have evicted the fingerprint. With a
	// fan-out of 4 to 8 peers, 6 hops reach 3,500 nodes.
	MaxHops uint8
	// MinTTL is the remaining TTL below which a fingerprint is not gossiped:
	// nodes where it has expired could otherwise insert it again endlessly.
	MinTTL time.Duration
	// SuspectRate (per second) and SuspectBurst limit the suspects accepted from
	// peers, and as many clearings; QuarantineRate and QuarantineBurst limit the quarantined ones. They bound
	// how many requests a faulty peer can slow down or block by forged notices.
	SuspectRate     float64
	SuspectBurst    float64
	QuarantineRate  float64
	QuarantineBurst float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		SuspectFor:      60 * time.Second,
		QuarantineFor:   10 * time.Minute,
		MaxEntries:      4096,
		MaxQuarantined:  256,
		MaxPerCrash:     512,
		MaxHops:         6,
		MinTTL:          time.Second,
		SuspectRate:     256,
		SuspectBurst:    4096, // a full table
		QuarantineRate:  0.5,
		QuarantineBurst: 32,
	}
}
