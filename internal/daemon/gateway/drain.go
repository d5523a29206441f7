package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

const (
	// newWorkShare is the part of the grace time in which requests are still taken: clients need time to learn other
	// addresses.
	newWorkShare = 0.3
	// endMargin is kept of the grace time for closing.
	endMargin = 400 * time.Millisecond
	// drainPoll is how often the end of the requests is looked for.
	drainPoll = 50 * time.Millisecond
)

// drain ends the process without cutting off requests that can end within the grace time.
func (n *Node) drain(servers []*server) {
	begin := time.Now()
	grace := n.bounds.Load().Grace
	n.draining.Store(true)
	n.gateway.StartDraining()
	n.log.Info("stopping", zap.Int("active", n.gateway.Active()), zap.Duration("grace", grace))
	stopTaking := begin.Add(time.Duration(newWorkShare * float64(grace)))
	end := begin.Add(grace - endMargin)
	quietSince := time.Time{}
	for now := time.Now(); now.Before(end); now = time.Now() {
		if now.After(stopTaking) {
			n.gateway.StopAccepting()
		}
		if n.gateway.Active() > 0 || quietSince.IsZero() {
			quietSince = now
		}
		if now.After(stopTaking) && now.Sub(quietSince) > longestLifetime/2 {
			break
		}
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), endMargin/2)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.log.Info("connections closed while in use", zap.String("listener", s.name), logfield.Error(err))
		}
	}
	n.log.Info("stopped", zap.Duration("took", time.Since(begin)), zap.Int("active", n.gateway.Active()))
}
