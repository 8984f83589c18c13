package backend

import (
	"errors"
	"net/netip"
	"net/url"
)

var errURL = errors.New("want http://IP:PORT or http://IP:PORT/PATH with a loopback IP address")

// CheckURL checks the address that a backend server announces. It must be on
// loopback, so that requests reach the backend server only through the node.
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
