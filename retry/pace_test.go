package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/importance"
)

// Guards against important requests that find no extra attempts in a long failure because less
// important ones took them in its first seconds.
func TestLongFailureLeavesExtraAttemptsToTheMostImportant(t *testing.T) {
	is := is.New(t)
	const perSecond = 500
	cfg := DefaultConfig()
	cfg.Window, cfg.Ratio, cfg.Burst = 10*time.Second, 0.2, 2
	b := NewBudget(cfg, start)
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 10 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.RecordCall(now)
	}
	// Half of the calls fail, of which one in five is critical: over eight seconds those need 400
	// of 1,000 extra attempts.
	for second := range 8 {
		var asked, allowed float64
		for range perSecond {
			now = now.Add(time.Second / perSecond)
			b.RecordCall(now)
			if rng.IntN(2) == 0 {
				continue
			}
			imp := importance.Normal
			if rng.IntN(5) == 0 {
				imp = importance.Critical
			}
			took := b.TryTake(now, admission.Priority(imp, now.String()))
			if imp == importance.Critical {
				asked++
				if took {
					allowed++
				}
			}
		}
		if allowed < 0.95*asked {
			t.Errorf("second %d: %v of %v", second, allowed, asked)
		}
	}
	is.True(b.Dump().Allowed > 700)
}

// Guards against a pace that withholds extra attempts in a short failure: calls of any priority
// that fail at the same time get a part of them at once.
func TestShortFailureGetsExtraAttemptsAtOnce(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Window, cfg.Ratio, cfg.Burst = 10*time.Second, 0.2, 2
	b := NewBudget(cfg, start)
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordCall(now)
	}
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		is.True(b.TryTake(now, 0))
	}
}
