package discovery

import "time"

const (
	// startReportWait is how long a router that has just started waits for reports of the other routers. Those whose
	// entries a restored store has lost register again within less time.
	startReportWait = 3 * time.Second
	// startLimit is the longest time for which it waits for a configuration that others have. Operators write the newest
	// configuration again within less time.
	startLimit = 5 * time.Second
)

// FleetConfig tells how the configuration of this router compares with those of the others.
type FleetConfig struct {
	// Own and Newest are the versions in force at this router and the newest one in force at another.
	Own, Newest int64
	// Heard is set if most of the other routers have reported.
	Heard bool
}

// startCheck holds back the first confirmation of a router that has just started. The store may have come back from an
// older copy a moment ago; that copy may lack the configuration in force, and hold API keys that were removed since. The
// running routers keep the newer configuration, so a router that has an older one waits for it.
type startCheck struct {
	begin  time.Time
	passed bool
}

// pass reports whether the router may rely on its configuration. A router that hears of no other one does so after
// startReportWait.
func (c *startCheck) pass(now time.Time, fleet FleetConfig) bool {
	if c.begin.IsZero() {
		c.begin = now
	}
	elapsed := now.Sub(c.begin)
	current := fleet.Own >= fleet.Newest
	c.passed = c.passed || current && (fleet.Heard || elapsed >= startReportWait) || elapsed >= startLimit
	return c.passed
}
