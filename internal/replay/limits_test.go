package replay

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
)

// limitedScenario is a calm load in whose second phase backend servers of a service name rate
// limits. They are given as shares of the mean load of a backend server of the service.
func limitedScenario(d Deployment, service string, load float64, shares ...float64) Scenario {
	perServer := load * d.capacity() * d.arrivalsPerRequest(service) / float64(len(d.service(service).Speeds))
	limits := make([]float64, len(shares))
	for i, share := range shares {
		limits[i] = share * perServer
	}
	return Scenario{Deployment: d, Seed: seed, EagerShare: 0.05, Phases: []Phase{
		{Name: "before", Duration: 2 * time.Second, Load: load},
		{Name: "during", Duration: 9 * time.Second, Load: load, LimitedService: service, RateLimits: limits},
		{Name: "after", Duration: time.Second, Load: load},
	}}
}

// Guards against a limited backend server that gets more than it takes or is left idle, and
// against refusals while the others of its service have room for the rest.
func TestOthersTakeTheLoadOfALimitedServer(t *testing.T) {
	for name, scenario := range map[string]Scenario{
		"two of five":         limitedScenario(Hallwyl(), "dossier-svc", 0.4, 0.4, 0.5),
		"two of three":        limitedScenario(Hallwyl(), "outreach-svc", 0.4, 0.5, 0.5),
		"one, to nearly none": limitedScenario(Hallwyl(), "mandate-svc", 0.4, 0.02),
		"one with short runs": limitedScenario(Savukartta(), "stationlog", 0.5, 0.4),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := runScenario(t, scenario, Production())
			is.Equal(len(r.LimitsBroken), 0)
			is.True(slices.Min(r.LimitUse) >= 0.9)
			is.True(r.During().ServedAll() > 0.99)
		})
	}
}

// Guards against important requests that are refused with the others when all backend servers
// of a service are limited, against limits that are not used, and against requests that are
// refused deep in their chain instead of at their entry.
func TestImportantRequestsFirstWhenAllServersAreLimited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := runScenario(t, limitedScenario(Hallwyl(), "history-svc", 0.4, 0.6, 0.6, 0.6), Production())
	is.Equal(len(r.LimitsBroken), 0)
	is.True(slices.Min(r.LimitUse) >= 0.9)
	is.True(r.During().Served(importance.Critical) > 0.985)
	is.True(r.WastedShare() < 0.02)
}

// Checks that the scenario detects nodes that ignore the limits.
func TestIgnoredLimitsAreDetected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ignoring := variant("limits ignored", func(p *Policy) { p.IgnoreRateLimits = true })
	r := runScenario(t, limitedScenario(Hallwyl(), "dossier-svc", 0.4, 0.4, 0.5), ignoring)
	is.Equal(len(r.LimitsBroken), 2)
}
