// Package pause sleeps until a time has passed or a context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until sleeps until the time at. It returns false if the context ends first or
// has already ended; a time in the past returns at once.
func Until(ctx context.Context, at time.Time) bool {
	if d := time.Until(at); d > 0 {
		return For(ctx, d)
	}
	return ctx.Err() == nil
}
