// Package periodic runs functions at a fixed period and provides a sleep that a context can end early.
package periodic

import (
	"context"
	"time"
)

// Run calls f once per period until the context ends. Ticks are dropped while f takes longer than the period.
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

// Sleep waits for d. It returns false if the context ends first.
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
