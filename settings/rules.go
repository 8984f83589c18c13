package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Limits of the settings.
const (
	maxNameLength = 64
	// MaxPayload is the maximum size of a body in bytes. It leaves space for the
	// other fields of a call in one message.
	MaxPayload = wire.MaxMessageBytes - 512<<10
	maxSlots   = 100_000
	// maxDrainGrace guarantees that a draining backend server gets no new
	// requests after a few seconds.
	maxDrainGrace = 3 * time.Second
	minKeyHeldFor = time.Second
	maxKeyHeldFor = 24 * time.Hour
	// maxKeyHeldPercent of the log's retention is the maximum time for which a key
	// is held. The margin allows for clocks of different rates: a key binding
	// must expire before the log drops its record.
	maxKeyHeldPercent = 95
	minLogRetention   = time.Second
	maxLogRetention   = 365 * 24 * time.Hour
	maxStopTimeout    = time.Hour
)

// rule defines the valid values of a setting. name is that of the flag, and want
// describes the valid values in errors.
type rule struct {
	name  string
	want  string
	value func(Settings) any
	valid func(Settings) bool
}

const (
	wantName     = "1 to 64 of the characters a-z A-Z 0-9 . _ -"
	wantAddr     = "IP:PORT with an IP number, such as 10.0.0.7:7400"
	wantPayload  = "a number of bytes from 1 to 3670016"
	wantSlots    = "a number from 1 to 100000"
	wantLogURL   = "http://IP:PORT with an IP number"
	wantLoopback = "IP:PORT with an IP number on loopback, such as 127.0.0.1:7401"
)

var rules = []rule{
	{"service", wantName, func(s Settings) any { return s.Service }, func(s Settings) bool { return isName(s.Service) }},
	{"data-centre", wantName, func(s Settings) any { return s.DataCentre }, func(s Settings) bool { return isName(s.DataCentre) }},
	{"region", wantName, func(s Settings) any { return s.Region }, func(s Settings) bool { return isName(s.Region) }},
	{"cluster", wantName, func(s Settings) any { return s.Cluster }, func(s Settings) bool { return isName(s.Cluster) }},
	{"listen", wantAddr, func(s Settings) any { return s.Listen }, func(s Settings) bool { return isAddr(s.Listen) }},
	{"local-listen", wantLoopback, func(s Settings) any { return s.LocalListen }, func(s Settings) bool { return isLoopback(s.LocalListen) }},
	{"peer-listen", wantAddr, func(s Settings) any { return s.PeerListen }, func(s Settings) bool { return isAddr(s.PeerListen) }},
	{"ops-listen", wantAddr, func(s Settings) any { return s.OpsListen }, func(s Settings) bool { return isAddr(s.OpsListen) }},
	{"advertise", "an IP number by which other nodes reach this one, not 0.0.0.0 or ::",
		func(s Settings) any { return s.Advertise }, func(s Settings) bool { return isReachable(s.Advertise) }},
	{"log-url", wantLogURL, func(s Settings) any { return s.LogURL }, func(s Settings) bool { return isLogURL(s.LogURL) }},
	{"log-retention", "a duration from 1s to 8760h", func(s Settings) any { return s.LogRetention },
		func(s Settings) bool { return inRange(s.LogRetention, minLogRetention, maxLogRetention) }},
	{"seed", wantAddr, func(s Settings) any { return s.Seeds }, func(s Settings) bool { return allAddrs(s.Seeds) }},
	// The binding of a caller's own key is a record of the log. If the log drops
	// it before the key expires, a resend runs a second time.
	{"key-held-for", "a duration from 1s to 24h, at most 95% of --log-retention", func(s Settings) any { return s.KeyHeldFor },
		func(s Settings) bool {
			return inRange(s.KeyHeldFor, minKeyHeldFor, min(maxKeyHeldFor, s.LogRetention/100*maxKeyHeldPercent))
		}},
	{"max-body", wantPayload, func(s Settings) any { return s.MaxBody }, func(s Settings) bool { return inRange(s.MaxBody, 1, MaxPayload) }},
	{"max-answer", wantPayload, func(s Settings) any { return s.MaxAnswer }, func(s Settings) bool { return inRange(s.MaxAnswer, 1, MaxPayload) }},
	{"max-limit", wantSlots, func(s Settings) any { return s.MaxLimit }, func(s Settings) bool { return inRange(s.MaxLimit, 1, maxSlots) }},
	{"initial-limit", "a number from 1 to the value of --max-limit", func(s Settings) any { return s.InitialLimit },
		func(s Settings) bool { return inRange(s.InitialLimit, 1, s.MaxLimit) }},
	{"queue", wantSlots, func(s Settings) any { return s.Queue }, func(s Settings) bool { return inRange(s.Queue, 1, maxSlots) }},
	{"drain-grace", "a duration from 0s to 3s", func(s Settings) any { return s.DrainGrace },
		func(s Settings) bool { return inRange(s.DrainGrace, 0, maxDrainGrace) }},
	{"stop-timeout", "a duration from the value of --drain-grace to 1h", func(s Settings) any { return s.StopTimeout },
		func(s Settings) bool { return inRange(s.StopTimeout, s.DrainGrace, maxStopTimeout) }},
	{"log-level", "debug, info, warn or error", func(s Settings) any { return s.LogLevel },
		func(s Settings) bool { return oneOf(s.LogLevel, "debug", "info", "warn", "error") }},
	{"policy", "full, fixed or none", func(s Settings) any { return s.Policy },
		func(s Settings) bool { return oneOf(s.Policy, "full", "fixed", "none") }},
}

func inRange[T int | int64 | time.Duration](v, low, high T) bool { return low <= v && v <= high }

// isName reports whether s is a valid name of a service, data centre, region or
// cluster.
func isName(s string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
	return s != "" && len(s) <= maxNameLength && strings.Trim(s, allowed) == ""
}

func isAddr(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func allAddrs(list []string) bool {
	for _, s := range list {
		if !isAddr(s) {
			return false
		}
	}
	return true
}

func isLoopback(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Addr().IsLoopback()
}

// isReachable reports whether s is an IP number that other nodes can connect to.
func isReachable(s string) bool {
	ip, err := netip.ParseAddr(s)
	return err == nil && !ip.IsUnspecified() && !ip.IsMulticast()
}

func isLogURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && isAddr(u.Host) && u.User == nil && u.RawQuery == ""
}
