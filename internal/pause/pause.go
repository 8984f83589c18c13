// Package pause waits without outliving its context.
package pause

import (
	"context"
	"time"
)

// For waits for a time and reports whether it passed before the context ended.
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

// Until is For up to a moment; one that has passed counts unless the context has
// ended.
func Until(ctx context.Context, at time.Time) bool {
	if d := time.Until(at); d > 0 {
		return For(ctx, d)
	}
	return ctx.Err() == nil
}
