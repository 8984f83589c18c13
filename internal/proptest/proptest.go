// Package proptest runs rapid's properties the same way everywhere: with a
// fixed seed by default, so that CI gives one verdict every time, and long
// with a fresh seed, which it prints, when PROVE is set.
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
	// fixedSeed is arbitrary; what matters is that it stays the same.
	fixedSeed = "20261202"
	// proveChecks is the default number of schedules of a long run.
	proveChecks = "3000"
	// defaultSteps is rapid's own mean length of a state machine's schedule.
	defaultSteps = 30
)

// Check runs the property. PROVE=1 runs it with a fresh seed; PROVE_SEED,
// PROVE_CHECKS and PROVE_STEPS choose the seed, the number of schedules and
// their mean length.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	CheckSteps(t, defaultSteps, property)
}

// CheckSteps is Check for a state machine whose schedules have to be longer,
// on average, to get where it can fail.
func CheckSteps(t *testing.T, steps int, property func(*rapid.T)) {
	t.Helper()
	configure(t, steps)
	rapid.Check(t, property)
}

func configure(t *testing.T, steps int) {
	set(t, "rapid.nofailfile", "true")
	set(t, "rapid.steps", envOr("PROVE_STEPS", strconv.Itoa(steps)))
	if os.Getenv("PROVE") == "" {
		set(t, "rapid.seed", fixedSeed)
		return
	}
	seed := envOr("PROVE_SEED", strconv.FormatInt(time.Now().UnixNano(), 10))
	checks := envOr("PROVE_CHECKS", proveChecks)
	t.Logf("seed %s, %s schedules", seed, checks)
	set(t, "rapid.seed", seed)
	set(t, "rapid.checks", checks)
}

func set(t *testing.T, name, value string) {
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
