package poison

import "time"

// Config bounds what a Guard keeps and believes.
type Config struct {
	// SuspectFor is how long a fingerprint stays a suspect when nothing
	// clears or convicts it. 60 s outlast a caller's usual resends; most
	// innocents are cleared by their next run and never wait that long.
	SuspectFor time.Duration
	// ConvictFor is how long a convicted request is refused everywhere.
	// After it, a resend may cost two backend servers again: 10 min keep
	// that below the rate of ordinary failures.
	ConvictFor time.Duration
	// MaxEntries bounds the fingerprints known at one time (about 200 bytes
	// each). 4096 hold the requests in flight of 14 backend servers of the
	// largest size of today (280 slots) that crash within SuspectFor.
	MaxEntries int
	// MaxConvicted bounds the convicted ones among them, which are never
	// evicted by new suspects.
	MaxConvicted int
	// MaxPerCrash bounds the suspects of one crash and the fingerprints in
	// one notice: more than the largest concurrency limit seen today.
	MaxPerCrash int
	// MaxHops bounds how often a notice is passed on. With a fan-out of 4 to
	// 8 peers, 6 hops reach 3,500 nodes; the bound also ends a notice that
	// circles among nodes which forgot it.
	MaxHops uint8
	// MinTTL is the remaining life below which a notice is not repeated: it
	// would expire on its way and could be learned anew for ever.
	MinTTL time.Duration
	// SuspectRate and SuspectBurst bound the suspects taken from peers, a
	// second and at once; ConvictRate and ConvictBurst the convictions. A
	// faulty peer that sends forged notices can slow down and refuse no more
	// requests than that.
	SuspectRate  float64
	SuspectBurst float64
	ConvictRate  float64
	ConvictBurst float64
}

// DefaultConfig returns the defaults explained at Config.
func DefaultConfig() Config {
	return Config{
		SuspectFor:   60 * time.Second,
		ConvictFor:   10 * time.Minute,
		MaxEntries:   4096,
		MaxConvicted: 256,
		MaxPerCrash:  512,
		MaxHops:      6,
		MinTTL:       time.Second,
		SuspectRate:  256,
		SuspectBurst: 2048,
		ConvictRate:  0.5,
		ConvictBurst: 32,
	}
}
