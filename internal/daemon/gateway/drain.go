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
	// The following times are parts of closeMargin. lastCompletions is the time after the listeners are closed in which
	// requests may still complete, also those on connections that were accepted last. finalResponses is the time for
	// the responses to all others, connectionsClosed that for closing connections, and unregisterTime that for removing
	// the router's entry.
	lastCompletions   = 100 * time.Millisecond
	finalResponses    = 100 * time.Millisecond
	connectionsClosed = 50 * time.Millisecond
	unregisterTime    = 100 * time.Millisecond
	// drainPollPeriod is the time between checks for requests in progress.
	drainPollPeriod = 50 * time.Millisecond
	// endPollPeriod is the time between these checks after the requests in progress have been ended.
	endPollPeriod = 2 * time.Millisecond
)

// drain stops serving. Requests that can end within the grace period are completed. The others get a response which
// says whether they may have run; responses that have begun are cut.
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
		if idleSince.IsZero() || n.activeRequests() > 0 || n.clients.unsent() > 0 {
			idleSince = now
		}
		if now.After(acceptUntil) && now.Sub(idleSince) > maxAddressLifetime/2 {
			break
		}
		time.Sleep(drainPollPeriod)
	}
	n.closeListeners(servers)
	time.Sleep(lastCompletions)
	if active := n.activeRequests(); active > 0 {
		n.log.Info("ending requests", zap.Int("active", active))
		n.endActiveRequests(finalResponses)
	}
	n.shutdown(servers, connectionsClosed)
	awaitZero(n.clients.unread, connectionsClosed) // the rest of responses that clients have not read
	n.log.Info("stopped", zap.Duration("took", time.Since(startedAt)), zap.Int("active", n.activeRequests()))
}

// closeListeners closes the listeners and leaves the connections open. http.Server.Shutdown would close those on which
// a request arrives, without a response.
func (n *Node) closeListeners(servers []*server) {
	for _, s := range servers {
		if err := s.listener.Close(); err != nil {
			n.log.Info("listener not closed", zap.String("listener", s.name), logfield.Error(err))
		}
	}
}

// endActiveRequests ends the requests in progress and waits until they have ended, at most for the given time.
func (n *Node) endActiveRequests(timeout time.Duration) {
	n.admission.StopSends()
	n.endRequests(gateway.ErrStopping)
	n.offload.inspector.EndForwarding()
	awaitZero(n.activeRequests, timeout)
}

// awaitZero waits until a count is zero, at most for the given time.
func awaitZero(count func() int, timeout time.Duration) {
	for end := time.Now().Add(timeout); count() > 0 && time.Now().Before(end); {
		time.Sleep(endPollPeriod)
	}
}

// shutdown closes the connections once their responses have been written, at most in the given time.
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
}

// activeRequests returns the number of requests in progress, those that were passed on to other routers and those whose
// clients have not read the response included.
func (n *Node) activeRequests() int {
	return n.gateway.Active() + n.offload.inspector.Forwarded() + n.clients.unread()
}
