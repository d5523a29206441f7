package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// SetServices replaces the services of the configuration.
func (c *Controller) SetServices(services []routing.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetServices(services)
}

// RecordRefusedConnection records that the server of a granted request refused the connection.
func (c *Controller) RecordRefusedConnection(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.RecordRefusedConnection(time.Now(), t)
	c.countLimits()
}

// MergeWarmups records what another router knows of warm-ups.
func (c *Controller) MergeWarmups(reports []warmup.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.MergeWarmups(time.Now(), reports)
	c.countLimits()
}

// WarmupReports returns what is known of the warm-ups of servers.
func (c *Controller) WarmupReports(servers []string) []warmup.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.WarmupReports(time.Now(), servers)
}

// TakeWarmupChanges returns the starts, extensions and ends of warm-ups since the last call.
func (c *Controller) TakeWarmupChanges() []warmup.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.warmups.TakeChanges()
}

// Warmups returns the cold servers.
func (c *Controller) Warmups() []WarmupStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Warmups(time.Now())
}
