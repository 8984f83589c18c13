package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/routes"
)

// Guards against one content that counts as several since it entered beside several services, and
// against two contents that count as one.
func TestContentDoesNotDependOnTheEntry(t *testing.T) {
	is := is.New(t)
	route := &routes.Route{Host: "x.example", Prefix: "/a/"}
	request := func(origin, host, method, target, body string) entry.Incoming {
		return entry.Incoming{Body: []byte(body), HTTP: call.HTTP{Origin: origin, Host: host, Method: method, Target: target}}
	}
	fp := contentFingerprint("s", route, request("b", "x.example", "GET", "/a/1", ""))
	is.Equal(contentFingerprint("s", route, request("c", "X.example:80", "GET", "/a/1", "")), fp)
	for name, other := range map[string]uint64{
		"service": contentFingerprint("t", route, request("b", "x.example", "GET", "/a/1", "")),
		"host":    contentFingerprint("s", &routes.Route{Host: "y.example", Prefix: "/a/"}, request("b", "y.example", "GET", "/a/1", "")),
		"method":  contentFingerprint("s", route, request("b", "x.example", "PUT", "/a/1", "")),
		"path":    contentFingerprint("s", route, request("b", "x.example", "GET", "/a/2", "")),
		"query":   contentFingerprint("s", route, request("b", "x.example", "GET", "/a/1?q", "")),
		"body":    contentFingerprint("s", route, request("b", "x.example", "GET", "/a/1", "b")),
	} {
		if other == fp {
			t.Errorf("another %s gives the same fingerprint", name)
		}
	}
}
