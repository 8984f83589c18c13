package bootclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNowAdvances(t *testing.T) {
	is := is.New(t)
	var clock Clock = Now
	before := clock()
	time.Sleep(time.Millisecond)
	is.True(clock().Sub(before) >= time.Millisecond)
}
