package replay

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against comparisons of policies that show the order of goroutines: in two runs of a
// scenario all events have the same instants, and the reports are the same.
func TestRunsRepeat(t *testing.T) {
	for name, scenario := range map[string]Scenario{
		"burst":        burst(Savukartta(), 2),
		"declines":     declines(Savukartta(), map[string]float64{"fieldlog": 0.3, "stationlog": 0.3}),
		"lost answers": declines(Savukartta(), nil).losing(map[string]float64{"fieldlog": 0.1, "stationlog": 0.1}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var rows [3]string
			var digests [3]uint64
			for i := range rows {
				synctest.Test(t, func(*testing.T) {
					r := Run(scenario, Production())
					rows[i], digests[i] = r.Row(), r.Digest
				})
			}
			is.Equal(rows[0], rows[1])
			is.Equal(rows[0], rows[2])
			is.Equal(digests[0], digests[1])
			is.Equal(digests[0], digests[2])
		})
	}
}

// losing returns the scenario with shares of the answers lost in its second phase.
func (s Scenario) losing(shares map[string]float64) Scenario {
	s.Phases[1].Silent = shares
	return s
}
