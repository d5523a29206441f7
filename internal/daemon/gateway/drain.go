package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

const (
	// acceptFraction is the fraction of the grace period in which new requests are still accepted, because clients need
	// time to learn other addresses.
	acceptFraction = 0.3
	// closeMargin is the end of the grace period that is reserved for closing connections.
	closeMargin = 400 * time.Millisecond
	// drainPollPeriod is the time between checks for requests in progress.
	drainPollPeriod = 50 * time.Millisecond
)

// drain stops serving. Requests that can end within the grace period are completed.
func (n *Node) drain(servers []*server) {
	startedAt := time.Now()
	grace := n.bounds.Load().Grace
	n.draining.Store(true)
	n.gateway.StartDraining()
	n.log.Info("stopping", zap.Int("active", n.activeRequests()), zap.Duration("grace", grace))
	acceptUntil := startedAt.Add(time.Duration(acceptFraction * float64(grace)))
	deadline := startedAt.Add(grace - closeMargin)
	idleSince := time.Time{}
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		if now.After(acceptUntil) {
			n.gateway.StopAccepting()
		}
		if n.activeRequests() > 0 || idleSince.IsZero() {
			idleSince = now
		}
		if now.After(acceptUntil) && now.Sub(idleSince) > maxAddressLifetime/2 {
			break
		}
		time.Sleep(drainPollPeriod)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeMargin/2)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.log.Info("connections closed while in use", zap.String("listener", s.name), logfield.Error(err))
		}
	}
	n.log.Info("stopped", zap.Duration("took", time.Since(startedAt)), zap.Int("active", n.activeRequests()))
}

// activeRequests returns the number of requests in progress, those that were passed on to other routers included.
func (n *Node) activeRequests() int { return n.gateway.Active() + n.offload.inspector.Forwarded() }
