// Package periodic runs work at fixed periods, and waits that a context ends.
package periodic

import (
	"context"
	"time"
)

// Run calls f each period until the context ends. Calls that f was too slow for are left out.
func Run(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Sleep waits for d. It returns false when the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
