package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/platform"
)

// reloadPeriod is how often the settings file is read without a signal, because it may change without one.
const reloadPeriod = 2 * time.Second

// watchSettings reloads the settings periodically and on SIGHUP.
func (n *Node) watchSettings(ctx context.Context, path string) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.hangup:
			n.log.Info("reload", zap.String("cause", "SIGHUP"))
		case <-ticker.C:
		}
		n.reload(path)
	}
}

// reload reads the settings file and puts its bounds in force. An invalid file changes nothing.
func (n *Node) reload(path string) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		n.log.Error("settings not reloaded, the previous ones stay in force", logfield.Error(err))
		return
	}
	if *n.bounds.Load() == s.Bounds {
		return
	}
	n.applyBounds(s.Bounds)
	n.log.Info("settings reloaded", zap.Any("bounds", s.Bounds))
}

// applyBounds puts the operators' bounds in force.
func (n *Node) applyBounds(b platform.Bounds) {
	n.bounds.Store(&b)
	n.keyMaxConfigAge.Store(int64(keyMaxConfigAge(b)))
	if age := keyMaxConfigAge(b); age < minKeyMaxConfigAge {
		n.log.Warn("the revocation bound is too short: requests with API keys will be refused at times",
			zap.Duration("bound", b.Revoke), zap.Duration("config_age_limit", age))
	}
	n.budget.SetBounds(retryBoundFraction*b.RetryRatio, retryBoundFraction*b.RetrySlack)
}
