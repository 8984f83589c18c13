package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a flag or variable that is ignored, or the wrong precedence.
func TestPlatformSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParsePlatform(nil, []string{"PATH=/bin", "CASSIALOOM_CONFIG=x.yaml"})
	is.NoErr(err)
	is.Equal(s, Platform{})
	s, err = ParsePlatform(nil, []string{"CASSIALOOM_PEER_ADVERTISE=10.0.0.1:7000"})
	is.NoErr(err)
	is.Equal(s.PeerAdvertise, "10.0.0.1:7000")
	s, err = ParsePlatform([]string{"--peer-advertise", "10.0.0.2:7000"}, []string{"CASSIALOOM_PEER_ADVERTISE=10.0.0.1:7000"})
	is.NoErr(err)
	is.Equal(s.PeerAdvertise, "10.0.0.2:7000") // the flag takes precedence
	_, err = ParsePlatform([]string{"--help"}, nil)
	is.True(IsHelp(err))
}

// Guards against wrong settings that leave a default in force without an error.
func TestInvalidPlatformSettings(t *testing.T) {
	for name, c := range map[string]struct {
		args, env []string
		names     string
	}{
		"unknown variable":  {nil, []string{"CASSIALOOM_PEER_ADVERTISED=10.0.0.1:7000"}, "CASSIALOOM_PEER_ADVERTISED"},
		"setting elsewhere": {nil, []string{"CASSIALOOM_SERVICE=s"}, "CASSIALOOM_SERVICE"},
		"no port":           {[]string{"--peer-advertise", "10.0.0.1"}, nil, "IP:PORT"},
		"a name":            {nil, []string{"CASSIALOOM_PEER_ADVERTISE=host:7000"}, "IP:PORT"},
		"argument":          {[]string{"more"}, nil, "more"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParsePlatform(c.args, c.env)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.names))
		})
	}
}
