package backend

import (
	"errors"
	"net/netip"
	"net/url"
)

var errURL = errors.New("want http://IP:PORT or http://IP:PORT/PATH with an IP number on loopback")

// CheckURL checks the address at which a backend server announces itself. It
// has to be on loopback: the node is the only way in to its backend server.
func CheckURL(s string) error {
	u, err := url.Parse(s)
	if err != nil {
		return errURL
	}
	addr, err := netip.ParseAddrPort(u.Host)
	plain := u.User == nil && u.RawQuery == "" && u.Fragment == "" && (u.Path == "" || u.Path[len(u.Path)-1] != '/')
	if err != nil || u.Scheme != "http" || !plain || !addr.Addr().IsLoopback() || addr.Port() == 0 {
		return errURL
	}
	return nil
}
