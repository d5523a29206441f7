package discovery

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

const (
	// startReportWait is how long a router that has just started, and has read the store, waits for reports of the other
	// routers. Those whose entries a restored store has lost register again within less time, and so do the operators who
	// write again what the store has lost.
	startReportWait = 3 * time.Second
	// startLimit is the longest time for which it waits for a configuration that others have. Operators write the newest
	// configuration again within less time.
	startLimit = 5 * time.Second
)

// neverRestored is the era of a store that has never come back from an older copy.
const neverRestored kv.Era = 0

// FleetConfig tells how the configuration of this router compares with those of the others.
type FleetConfig struct {
	// Own and Newest are the versions in force at this router and the newest one in force at another.
	Own, Newest int64
	// Heard is set if most of the other routers have reported.
	Heard bool
	// Witnesses counts the routers that serve, by the era of the store in which they last confirmed their state. Routers
	// that have just started are none: they may all have read the same older copy.
	Witnesses map[kv.Era]int
}

// startCheck holds back the first confirmation of a router that has just started. The store may have come back from an
// older copy a moment ago; that copy may lack the configuration in force, and hold API keys that were removed since. The
// running routers keep the newer configuration, so a router that has an older one waits for it. If all routers have just
// started, none knows whether the copy lacks something, so they wait for the operators to write again. A store that was
// never restored lacks nothing.
type startCheck struct {
	begin  time.Time
	passed bool
}

// pass reports whether the router may rely on what it has read from the store in an era. It must be called first when the
// store has been read. A router that hears of no other one that serves relies on it after startReportWait.
func (c *startCheck) pass(now time.Time, fleet FleetConfig, era kv.Era) bool {
	if c.begin.IsZero() {
		c.begin = now
	}
	elapsed := now.Sub(c.begin)
	current := fleet.Own >= fleet.Newest
	confirmed := fleet.Heard && (fleet.Witnesses[era] > 0 || era == neverRestored)
	c.passed = c.passed || current && (confirmed || elapsed >= startReportWait) || elapsed >= startLimit
	return c.passed
}
