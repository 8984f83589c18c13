package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		begin := time.Now()
		is.True(For(ctx, time.Second))
		is.Equal(time.Since(begin), time.Second)
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(begin), time.Minute)
	})
}

func TestUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		is.True(Until(ctx, begin.Add(time.Second)))
		is.Equal(time.Since(begin), time.Second)
		is.True(Until(ctx, begin)) // a time in the past
		cancel()
		is.True(!Until(ctx, begin))
	})
}
