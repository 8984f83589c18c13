package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1000, 0)

func TestReachGrowsAndExpires(t *testing.T) {
	is := is.New(t)
	b := New(DefaultConfig())
	is.Equal(len(b.Reach("r")), 0)
	is.True(b.Record(startTime, "r", []string{"b", "a"}))
	is.True(!b.Record(startTime.Add(time.Second), "r", []string{"a"}))
	is.Equal(b.Reach("r"), []string{"a", "b"})
	is.Equal(len(b.Reach("other")), 0)

	late := startTime.Add(DefaultConfig().ExpireAfter + 500*time.Millisecond)
	is.True(b.Record(late, "r", []string{"a"})) // b has expired
	is.Equal(b.Reach("r"), []string{"a"})
	is.Equal(b.Dump(late), []State{{Route: "r", Services: []string{"a"}}})
}

// Guards against memory growth when a peer keeps naming new services or routes.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := Config{ExpireAfter: time.Second, MaxRoutes: 3, MaxServices: 2}
	b := New(cfg)
	for i := range 10 {
		b.Record(startTime, fmt.Sprint("r", i), []string{"a", "b", "c"})
	}
	is.Equal(len(b.routes), 3)
	is.Equal(len(b.Reach("r0")), 2)
	b.Record(startTime.Add(2*time.Second), "new", []string{"a"})
	is.Equal(b.Reach("new"), []string{"a"})
}
