package replay

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against comparisons of policies that show the order of goroutines: two runs of a
// scenario give the same report.
func TestRunsRepeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var rows [3]string
	for i := range rows {
		synctest.Test(t, func(*testing.T) { rows[i] = Run(burst(Savukartta(), 2), Production()).Row() })
	}
	is.Equal(rows[0], rows[1])
	is.Equal(rows[0], rows[2])
}
