package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/jessevdk/go-flags"
)

// PlatformFileEnv is the name of the environment variable with the path of the
// settings file of the users' platform. If it is set, all settings come from that
// file and from Platform.
const PlatformFileEnv = envPrefix + "CONFIG"

// Platform holds the settings of a node on the users' platform that the platform's
// settings file doesn't contain.
type Platform struct {
	PeerAdvertise string `long:"peer-advertise" env:"CASSIALOOM_PEER_ADVERTISE" value-name:"IP:PORT" description:"address by which other nodes reach this one, where that is not the one it listens at (default: the listen address of the settings file)"`
}

// ParsePlatform reads the settings from flags and from environment variables; a flag
// takes precedence. For --help it returns an error with the help text; see IsHelp.
func ParsePlatform(args, env []string) (Platform, error) {
	var s Platform
	p := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cassialoomd"
	p.ShortDescription = "node of the overload control layer, on the users' platform"
	p.LongDescription = "With " + PlatformFileEnv + " set, all settings come from the file that it names, except for these."
	var own []string
	for _, entry := range env {
		if !strings.HasPrefix(entry, PlatformFileEnv+"=") {
			own = append(own, entry)
		}
	}
	if err := readEnv(p, own); err != nil {
		return Platform{}, err
	}
	rest, err := p.ParseArgs(args)
	switch {
	case err != nil:
		return Platform{}, err
	case len(rest) > 0:
		return Platform{}, fmt.Errorf("argument %q: only flags are allowed", rest[0])
	}
	return s, s.check()
}

func (s Platform) check() error {
	if s.PeerAdvertise == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(s.PeerAdvertise); err != nil {
		return fmt.Errorf("--peer-advertise %q: want IP:PORT", s.PeerAdvertise)
	}
	return nil
}
