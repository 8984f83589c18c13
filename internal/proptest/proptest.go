// Package proptest runs properties of rapid with common settings. By default
// the seed is fixed, so that CI results are repeatable. If PROVE is set, runs
// are longer and use a new seed, which is logged.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// fixedSeed is the seed of runs without PROVE.
	fixedSeed = "20261202"
	// proveChecks is the default number of checks of a run with PROVE.
	proveChecks = "3000"
	// defaultSteps is rapid's default mean number of actions in one check of a
	// state machine.
	defaultSteps = 30
)

// Check checks the property. With PROVE=1 it uses a new seed. PROVE_SEED sets
// the seed and PROVE_CHECKS the number of checks of such a run; PROVE_STEPS
// sets the mean number of actions of every run.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	CheckSteps(t, defaultSteps, property)
}

// CheckSteps is Check with a mean number of actions, for state machines that
// fail only after more actions than rapid's default.
func CheckSteps(t *testing.T, steps int, property func(*rapid.T)) {
	t.Helper()
	configure(t, steps)
	rapid.Check(t, property)
}

func configure(t *testing.T, steps int) {
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.steps", envOr("PROVE_STEPS", strconv.Itoa(steps)))
	if os.Getenv("PROVE") == "" {
		setFlag(t, "rapid.seed", fixedSeed)
		return
	}
	seed := envOr("PROVE_SEED", strconv.FormatInt(time.Now().UnixNano(), 10))
	checks := envOr("PROVE_CHECKS", proveChecks)
	t.Logf("seed %s, %s schedules", seed, checks)
	setFlag(t, "rapid.seed", seed)
	setFlag(t, "rapid.checks", checks)
}

func setFlag(t *testing.T, name, value string) {
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("flag %s: %v", name, err)
	}
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
