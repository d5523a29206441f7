package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
	"gooseberrytide.example/gooseberrytide/internal/state/routing"
)

// rate returns how many requests a second a server may get from all routers together: the lower one of the limit that it
// names and the rate of its warm-up. It returns false if it has neither. The owner of the server grants the permits.
func (c *Core) rate(now time.Time, server string) (float64, bool) {
	named, limited := c.limits.Rate(now, server)
	cold, warming := c.warmups.Rate(now, server)
	switch {
	case limited && warming:
		return min(named, cold), true
	case limited:
		return named, true
	default:
		return cold, warming
	}
}

// SetServices replaces the services of the configuration.
func (c *Core) SetServices(services []routing.Service) {
	configs := make(map[string]warmup.Config, len(services))
	for _, s := range services {
		configs[s.Name] = warmup.Config{PerSecond: s.ColdPerSecond, Duration: s.ColdDuration}
	}
	c.warmups.SetServices(configs)
}

// RecordRefusedConnection records that the server of a granted request refused the connection, so that it has ended. Load
// pattern: a crashed server comes back while requests wait for it at all routers.
func (c *Core) RecordRefusedConnection(now time.Time, t *Ticket) {
	if t.server != nil {
		c.warmups.RecordRefused(now, t.server)
	}
}

// MergeWarmups records what another router knows of warm-ups.
func (c *Core) MergeWarmups(now time.Time, reports []warmup.Report) {
	for _, r := range reports {
		c.warmups.Merge(now, r)
	}
}

// WarmupReports returns what is known of the warm-ups of servers.
func (c *Core) WarmupReports(now time.Time, servers []string) []warmup.Report {
	var reports []warmup.Report
	for _, id := range servers {
		if r, cold := c.warmups.Report(now, id); cold {
			reports = append(reports, r)
		}
	}
	return reports
}

// WarmupStatus describes a cold server and its use.
type WarmupStatus struct {
	warmup.Status
	// Rate is the rate in force, in requests per second.
	Rate float64
	// Used is the recent rate of permits, in requests per second, if this router has granted them.
	Used float64
}

// Warmups returns the cold servers.
func (c *Core) Warmups(now time.Time) []WarmupStatus {
	list := c.warmups.List(now)
	statuses := make([]WarmupStatus, len(list))
	for i, s := range list {
		rate, _ := c.rate(now, s.Server)
		statuses[i] = WarmupStatus{Status: s, Rate: rate, Used: c.allocator.Used(now, s.Server)}
	}
	return statuses
}
