package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/jessevdk/go-flags"
)

// PlatformFile names the variable that holds the path of the users' platform's
// settings file. Where it is set, that file and Platform are all the settings that
// there are.
const PlatformFile = envPrefix + "CONFIG"

// Platform holds the node's own settings on the users' platform: what its settings
// file does not say.
type Platform struct {
	PeerAdvertise string `long:"peer-advertise" env:"CASSIALOOM_PEER_ADVERTISE" value-name:"IP:PORT" description:"address by which other nodes reach this one, where that is not the one it listens at (default: the listen address of the settings file)"`
}

// ParsePlatform reads the flags, and the environment for what no flag sets. The error
// of --help, which IsHelp tells apart, holds the help text.
func ParsePlatform(args, env []string) (Platform, error) {
	var s Platform
	p := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cassialoomd"
	p.ShortDescription = "node of the overload control layer, on the users' platform"
	p.LongDescription = "With " + PlatformFile + " set, everything comes from the settings file that it names, but for these."
	var own []string
	for _, entry := range env {
		if !strings.HasPrefix(entry, PlatformFile+"=") {
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
