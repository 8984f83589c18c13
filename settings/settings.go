// Package settings reads the settings of cassialoomd from flags and environment
// variables and validates them.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// envPrefix is the prefix of all environment variables of the settings. Unknown
// variables with this prefix are errors.
const envPrefix = "CASSIALOOM_"

// Settings holds the settings of a node.
type Settings struct {
	Service    string `long:"service" env:"CASSIALOOM_SERVICE" value-name:"NAME" description:"service that the backend server beside this node belongs to, as in the graph text"`
	DataCentre string `long:"data-centre" env:"CASSIALOOM_DATA_CENTRE" value-name:"NAME" description:"data centre of this instance"`
	Region     string `long:"region" env:"CASSIALOOM_REGION" value-name:"NAME" description:"region of the data centre"`
	Cluster    string `long:"cluster" env:"CASSIALOOM_CLUSTER" value-name:"NAME" default:"main" description:"name that all nodes of one graph share; nodes of other clusters are refused"`

	Listen      string `long:"listen" env:"CASSIALOOM_LISTEN" value-name:"IP:PORT" default:"0.0.0.0:7400" description:"address for callers"`
	LocalListen string `long:"local-listen" env:"CASSIALOOM_LOCAL_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:7401" description:"address for this instance's backend server, on loopback"`
	PeerListen  string `long:"peer-listen" env:"CASSIALOOM_PEER_LISTEN" value-name:"IP:PORT" default:"0.0.0.0:7402" description:"address for other nodes"`
	OpsListen   string `long:"ops-listen" env:"CASSIALOOM_OPS_LISTEN" value-name:"IP:PORT" default:"0.0.0.0:7403" description:"address for operators; keep callers away from it"`
	Advertise   string `long:"advertise" env:"CASSIALOOM_ADVERTISE" value-name:"IP" description:"IP number by which other nodes reach this one (default: that of --peer-listen)"`

	LogURL       string        `long:"log-url" env:"CASSIALOOM_LOG_URL" value-name:"URL" description:"platform's log service, http://IP:PORT"`
	LogRetention time.Duration `long:"log-retention" env:"CASSIALOOM_LOG_RETENTION" value-name:"DURATION" default:"24h" description:"how long the log service keeps a record"`
	Seeds        []string      `long:"seed" env:"CASSIALOOM_SEED" env-delim:"," value-name:"IP:PORT" description:"peer address of another node, to be found while the log service is down (repeatable; commas in the variable)"`

	KeyHeldFor time.Duration `long:"key-held-for" env:"CASSIALOOM_KEY_HELD_FOR" value-name:"DURATION" default:"10m" description:"how long a resend with the same idempotency key stays safe"`
	MaxBody    int64         `long:"max-body" env:"CASSIALOOM_MAX_BODY" value-name:"BYTES" default:"1048576" description:"largest request body"`
	MaxAnswer  int64         `long:"max-answer" env:"CASSIALOOM_MAX_ANSWER" value-name:"BYTES" default:"1048576" description:"largest answer body"`

	InitialLimit int `long:"initial-limit" env:"CASSIALOOM_INITIAL_LIMIT" value-name:"N" default:"16" description:"requests that run at once at the backend server before any measurement"`
	MaxLimit     int `long:"max-limit" env:"CASSIALOOM_MAX_LIMIT" value-name:"N" default:"1024" description:"requests that ever run at once at the backend server"`
	Queue        int `long:"queue" env:"CASSIALOOM_QUEUE" value-name:"N" default:"128" description:"requests that wait for the backend server at most"`

	DrainGrace  time.Duration `long:"drain-grace" env:"CASSIALOOM_DRAIN_GRACE" value-name:"DURATION" default:"1s" description:"how long a leaving node still takes requests from peers that have not heard of it"`
	StopTimeout time.Duration `long:"stop-timeout" env:"CASSIALOOM_STOP_TIMEOUT" value-name:"DURATION" default:"60s" description:"how long a planned stop waits for requests in flight"`
	LogLevel    string        `long:"log-level" env:"CASSIALOOM_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"least level of the lines written"`

	// Policy is for experiments only: fixed and none replace the adaptive limit
	// and load shedding.
	Policy string `long:"policy" env:"CASSIALOOM_POLICY" value-name:"NAME" default:"full" hidden:"true" description:"overload policy, for experiments"`
}

// Parse reads and validates the settings from flags and from environment variables;
// a flag takes precedence. For --help it returns an error with the help text; see
// IsHelp.
func Parse(args, env []string) (Settings, error) {
	var s Settings
	p := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cassialoomd"
	p.ShortDescription = "node of the overload control layer"
	p.LongDescription = longDescription
	if err := readEnv(p, env); err != nil {
		return Settings{}, err
	}
	rest, err := p.ParseArgs(args)
	if err != nil {
		return Settings{}, addValidValues(err)
	}
	if len(rest) > 0 {
		return Settings{}, fmt.Errorf("argument %q: only flags are allowed", rest[0])
	}
	if s.Advertise == "" {
		s.Advertise = hostOf(s.PeerListen)
	}
	return s, s.Check()
}

const longDescription = `cassialoomd is the node: it runs beside one backend server, takes its ` +
	`callers' requests and makes its calls to other services. Every setting is a flag and an ` +
	`environment variable; the flag wins. SIGTERM is the planned stop.`

// IsHelp reports whether err holds the help text of --help.
func IsHelp(err error) bool { return flags.WroteHelp(err) }

// readEnv sets the defaults of p from the environment env. It returns an error for
// an unknown variable with the prefix, since a misspelt name would otherwise leave a
// default in force.
func readEnv(p *flags.Parser, env []string) error {
	options := make(map[string]*flags.Option)
	for _, o := range p.Group.Groups()[0].Options() {
		options[o.EnvDefaultKey] = o
	}
	for _, entry := range env {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, envPrefix) {
			continue
		}
		o, known := options[name]
		if !known {
			return fmt.Errorf("environment variable %s: no such setting; see --help", name)
		}
		o.Default = []string{value}
		if o.EnvDefaultDelim != "" {
			o.Default = strings.Split(value, o.EnvDefaultDelim)
		}
	}
	return nil
}

// addValidValues adds the valid values to an error of the parser, which names only
// the setting and its value.
func addValidValues(err error) error {
	var e *flags.Error
	if !errors.As(err, &e) || e.Type != flags.ErrMarshal {
		return err
	}
	for _, r := range rules {
		if strings.Contains(e.Message, "--"+r.name+"'") {
			return fmt.Errorf("%s: want %s", e.Message, r.want)
		}
	}
	return err
}

// AdvertisedAddr returns the address by which other nodes reach a port.
func (s Settings) AdvertisedAddr(port int) string {
	return net.JoinHostPort(s.Advertise, strconv.Itoa(port))
}

// hostOf returns the IP number of addr, or "" if addr is not valid.
func hostOf(addr string) string {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	return ap.Addr().String()
}

// Check returns an error that names the first invalid setting, its value and the
// valid values.
func (s Settings) Check() error {
	for _, r := range rules {
		if !r.valid(s) {
			return fmt.Errorf("setting --%s: %q: want %s", r.name, fmt.Sprint(r.value(s)), r.want)
		}
	}
	return nil
}

func oneOf(s string, allowed ...string) bool { return slices.Contains(allowed, s) }
