package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/transport/gateway"
)

const (
	// acceptFraction is the fraction of the grace period in which new requests are still accepted, because clients need
	// time to learn other addresses.
	acceptFraction = 0.3
	// closeMargin is the end of the grace period that is reserved for ending requests and closing connections.
	closeMargin = 400 * time.Millisecond
	// Parts of closeMargin: lastCompletions is for requests that complete by themselves after the listeners are closed,
	// finalResponses for the responses to all others, and unregisterTime for removing the router's entry.
	lastCompletions = 100 * time.Millisecond
	finalResponses  = 150 * time.Millisecond
	unregisterTime  = 100 * time.Millisecond
	// drainPollPeriod is the time between checks for requests in progress.
	drainPollPeriod = 50 * time.Millisecond
	// forwardPollPeriod is the time between checks for forwarded connections while the listeners are shut down.
	forwardPollPeriod = 5 * time.Millisecond
)

// drain stops serving. Requests that can end within the grace period are completed. The others get a response that tells
// whether they may have run, and streams are cut.
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
	n.shutdown(servers, lastCompletions)
	if unfinished := n.activeRequests(); unfinished > 0 {
		n.log.Info("ending requests", zap.Int("active", unfinished))
		n.admission.StopSends()
		n.endRequests(gateway.ErrStopping)
		n.offload.inspector.EndForwarding()
		n.shutdown(servers, finalResponses)
	}
	n.log.Info("stopped", zap.Duration("took", time.Since(startedAt)), zap.Int("active", n.activeRequests()))
}

// shutdown closes the listeners and the idle connections, and waits until no connection is in use, at most for the given
// time.
func (n *Node) shutdown(servers []*server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, s := range servers {
		shutdowns.Go(func() {
			if err := s.http.Shutdown(ctx); err != nil {
				n.log.Info("connections in use", zap.String("listener", s.name), logfield.Error(err))
			}
		})
	}
	shutdowns.Wait()
	for ctx.Err() == nil && n.offload.inspector.Forwarded() > 0 {
		time.Sleep(forwardPollPeriod)
	}
}

// activeRequests returns the number of requests in progress, those that were passed on to other routers included.
func (n *Node) activeRequests() int { return n.gateway.Active() + n.offload.inspector.Forwarded() }
