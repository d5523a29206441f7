// Package periodic runs work at fixed periods.
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
