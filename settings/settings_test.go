package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// requiredFlags are flags for the settings without a default.
var requiredFlags = []string{
	"--service=plumecast", "--data-centre=kuopio-hall", "--region=fi-east",
	"--log-url=http://127.0.0.1:7500", "--advertise=127.0.0.1",
}

func parseRequiredAnd(env []string, more ...string) (Settings, error) {
	return Parse(append(append([]string{}, requiredFlags...), more...), env)
}

// Guards against the wrong precedence of flags and environment variables.
func TestFlagOverridesVariable(t *testing.T) {
	is := is.New(t)
	env := []string{
		"HOME=/x",
		"CASSIALOOM_QUEUE=7",
		"CASSIALOOM_KEY_HELD_FOR=3m",
		"CASSIALOOM_SEED=127.0.0.1:1,127.0.0.1:2",
	}
	s, err := parseRequiredAnd(env, "--queue=9")
	is.NoErr(err)
	is.Equal(s.Queue, 9)
	is.Equal(s.KeyHeldFor, 3*time.Minute)
	is.Equal(s.Seeds, []string{"127.0.0.1:1", "127.0.0.1:2"})

	s, err = parseRequiredAnd(env, "--seed=127.0.0.1:3")
	is.NoErr(err)
	is.Equal(s.Queue, 7)
	is.Equal(s.Seeds, []string{"127.0.0.1:3"}) // the flag replaces the whole list
}

// Guards against advertising an address that peers can't connect to.
func TestAdvertiseDefaultsToPeerListen(t *testing.T) {
	is := is.New(t)
	s, err := Parse(append(requiredFlags[:4:4], "--peer-listen=10.0.0.7:7402"), nil)
	is.NoErr(err)
	is.Equal(s.AdvertisedAddr(7402), "10.0.0.7:7402")

	_, err = Parse(requiredFlags[:4:4], nil) // the default listens on all interfaces, and peers can't dial 0.0.0.0
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "--advertise"))
}

// Guards against an error for an invalid value that lacks the setting, the value or
// the valid values.
func TestInvalidValues(t *testing.T) {
	for flag, value := range map[string]string{
		"service":       "a b",
		"data-centre":   "",
		"cluster":       strings.Repeat("x", 65),
		"listen":        "localhost:80",
		"local-listen":  "10.0.0.7:80",
		"peer-listen":   "127.0.0.1",
		"ops-listen":    "127.0.0.1:99999",
		"advertise":     "0.0.0.0",
		"log-url":       "https://127.0.0.1:80",
		"log-retention": "0s",
		"seed":          "node-a:7402",
		"key-held-for":  "25h",
		"max-body":      "-1",
		"max-answer":    "99999999",
		"initial-limit": "2000",
		"max-limit":     "0",
		"queue":         "many",
		"drain-grace":   "4s",
		"stop-timeout":  "abc",
		"log-level":     "loud",
		"policy":        "some",
	} {
		for _, source := range []string{"flag", "variable"} {
			t.Run(flag+" by "+source, func(t *testing.T) {
				is := is.New(t)
				var err error
				if source == "flag" {
					_, err = parseRequiredAnd(nil, "--"+flag+"="+value)
				} else {
					name := "CASSIALOOM_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
					_, err = Parse(without(requiredFlags, flag), []string{name + "=" + value})
				}
				is.True(err != nil)
				is.True(!IsHelp(err))
				is.True(strings.Contains(err.Error(), "--"+flag)) // the setting
				is.True(strings.Contains(err.Error(), value))     // its value
				is.True(strings.Contains(err.Error(), "want "))   // the valid values
			})
		}
	}
}

// Guards against keys that are held for longer than the log keeps their bindings.
func TestKeyHeldForIsLimitedByLogRetention(t *testing.T) {
	is := is.New(t)
	_, err := parseRequiredAnd(nil, "--log-retention=5m", "--key-held-for=4m50s")
	is.True(err != nil && strings.Contains(err.Error(), "--key-held-for"))
	_, err = parseRequiredAnd(nil, "--log-retention=5m", "--key-held-for=4m45s")
	is.NoErr(err)
}

// without returns args without the given flag.
func without(args []string, flag string) []string {
	var rest []string
	for _, a := range args {
		if !strings.HasPrefix(a, "--"+flag+"=") {
			rest = append(rest, a)
		}
	}
	return rest
}

// Guards against ignoring a misspelt variable, flag or argument.
func TestUnknownSettings(t *testing.T) {
	is := is.New(t)
	_, err := parseRequiredAnd([]string{"CASSIALOOM_QUEU=7"})
	is.True(err != nil && strings.Contains(err.Error(), "CASSIALOOM_QUEU"))
	_, err = parseRequiredAnd(nil, "--queu=7")
	is.True(err != nil && strings.Contains(err.Error(), "queu"))
	_, err = parseRequiredAnd(nil, "start")
	is.True(err != nil && strings.Contains(err.Error(), "start"))
}

// Guards against a setting that is missing from the help.
func TestHelpListsEverySettingAndVariable(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]string{"--help"}, nil)
	is.True(IsHelp(err))
	for _, r := range rules {
		hidden := r.name == "policy"
		is.Equal(strings.Contains(err.Error(), "--"+r.name+"="), !hidden)
		variable := "CASSIALOOM_" + strings.ToUpper(strings.ReplaceAll(r.name, "-", "_"))
		is.Equal(strings.Contains(err.Error(), variable), !hidden)
	}
}
