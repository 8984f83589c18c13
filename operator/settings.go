package operator

import (
	"io"
	"net/netip"
	"net/url"
	"time"

	"github.com/cassialoom/cassialoom/applog"
)

// Limits of Settings.Timeout.
const (
	minTimeout = 100 * time.Millisecond
	maxTimeout = time.Hour
)

// Settings holds the settings of the command from flags and the environment.
type Settings struct {
	LogURL  string
	Nodes   []string
	Timeout time.Duration
}

// Check returns an error that wraps ErrUsage and names the first invalid setting, its
// value and the valid values.
func (s Settings) Check() error {
	if s.LogURL != "" && !isLogURL(s.LogURL) {
		return usage("setting --log-url: %q: want http://IP:PORT with an IP number", s.LogURL)
	}
	for _, addr := range s.Nodes {
		if !isAddr(addr) {
			return usage("setting --node: %q: want IP:PORT with an IP number, such as 10.0.0.7:7403", addr)
		}
	}
	if s.Timeout < minTimeout || s.Timeout > maxTimeout {
		return usage("setting --timeout: %q: want a duration from %v to %v", s.Timeout, minTimeout, maxTimeout)
	}
	return nil
}

// FromSettings returns an Operator for valid settings that writes its output to out.
func FromSettings(s Settings, out io.Writer) *Operator {
	var log applog.Log
	if s.LogURL != "" {
		log = applog.NewHTTP(s.LogURL, nil)
	}
	return New(DefaultConfig(), out, log, s.Nodes)
}

// isAddr reports whether addr is IP:PORT with a port that isn't zero.
func isAddr(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() > 0
}

func isLogURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || !isAddr(u.Host) {
		return false
	}
	return u.User == nil && u.RawQuery == "" && u.Fragment == ""
}

// checkAddr returns an error that wraps ErrUsage if the address of a node is not valid.
func checkAddr(addr string) error {
	if !isAddr(addr) {
		return usage("node %q: want IP:PORT with an IP number, such as 10.0.0.7:7403", addr)
	}
	return nil
}
