package admission

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverspeed"
	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// reopenStep is how long a server that had asked for a pause stays at one limit of running requests. The limit starts
	// at one request and doubles with each step, so that the routers do not send all that waits at the same moment.
	reopenStep = 100 * time.Millisecond
	// maxReopenSteps is the number of steps after which a server has its usual limits again.
	maxReopenSteps = 10
)

// Announcement is what a response of a backend server says about the server itself.
type Announcement struct {
	// Leaving is set if the server is about to leave.
	Leaving bool
	// Pause is the time for which the server wants no requests from this router. 0 means none.
	Pause time.Duration
	// Limit is what the response says about the rate of requests that the server takes, or nil if it says nothing valid.
	Limit *serverlimit.Statement
	// Load is the load and the pace that the server announces.
	Load serverspeed.Announcement
	// Cold is what the response says about the server's warm-up, or nil if it says nothing valid.
	Cold *warmup.Statement
}

// News is what an announcement has changed.
type News struct {
	// Leaving is set if the server is newly known to leave.
	Leaving bool
	// Limit is the change of the server's limit.
	Limit serverlimit.Change
	// Paced is set if the servers of the service count as announcing their pace from now on. A plain service is then
	// scheduled by observed speeds.
	Paced bool
}

// Announce records what a response says about the server that the request was sent to.
func (c *Core) Announce(now time.Time, t *Ticket, a Announcement) News {
	if t.server == nil {
		return News{}
	}
	if a.Pause > 0 {
		c.recordPause(t.server, now.Add(a.Pause))
	}
	news := News{Leaving: a.Leaving && c.drains.Receive(now, t.server)}
	if a.Cold != nil {
		c.warmups.Receive(t.server, *a.Cold)
	}
	if a.Limit != nil {
		news.Limit = c.limits.Receive(t.server, *a.Limit)
	}
	news.Paced = c.announceLoad(now, t.server, a.Load)
	return news
}

// SkipSuspended shortens the pauses of servers by a time for which the VM was suspended, which the clock of the other
// methods does not count. What servers have said about limits is as much older.
func (c *Core) SkipSuspended(d time.Duration) {
	c.limits.Skip(d)
	for _, h := range c.health {
		if !h.reopensAt.IsZero() {
			h.reopensAt = h.reopensAt.Add(-d)
		}
	}
	for incarnation, until := range c.pauses {
		c.pauses[incarnation] = until.Add(-d)
	}
}

// ReportDraining records the servers that another router knows to leave. It returns those that are out of use because of
// this report.
func (c *Core) ReportDraining(router string, list []serverdrain.Incarnation) []string {
	return c.drains.Report(router, list)
}

// ReceivedDraining returns the servers whose announcement this router received itself.
func (c *Core) ReceivedDraining() []serverdrain.Incarnation { return c.drains.Received() }

// Draining reports whether a server has announced that it leaves.
func (c *Core) Draining(id string) bool { return c.drains.Announced(id) }

// EndPlanned reports whether the end of an incarnation of a server was to be expected: it has announced that it leaves, or its
// failure domain is evacuated.
func (c *Core) EndPlanned(server *backends.Server) bool { return c.excluded(server) }

// opening is when a service that takes no requests at present takes some again.
type opening struct {
	// paused is set if servers have asked for a pause, so that the time is known, limited if servers have a limit and no
	// permit may be asked for now.
	paused, limited bool
	// at is when the first server takes requests again, forRequest when the first one does that the request may go to. It
	// is zero if there is none.
	at, forRequest time.Time
}

// nextOpening returns when the servers of a request's service take requests again.
func (c *Core) nextOpening(now time.Time, req *Request) opening {
	var next opening
	yields := c.yields(req)
	for _, server := range c.servers.ByService(req.Service.Name) {
		h, mayRequest := c.health[server.ID], c.mayRequestPermit(now, server.ID, yields)
		if h == nil && mayRequest || c.excluded(server) {
			continue
		}
		var opens time.Time
		if h != nil {
			next.paused = next.paused || now.Before(h.reopensAt)
			opens = later(h.pausedUntil, h.reopensAt)
		}
		if !mayRequest {
			next.limited = true
			opens = later(opens, later(c.permitStates[server.ID].heldBackFor(yields), now.Add(permitRequestTime)))
		}
		next.at = earliest(next.at, opens)
		if !req.excludes(server.ID) {
			next.forRequest = earliest(next.forRequest, opens)
		}
	}
	return next
}

// earliest returns the earlier one of two times. A zero time stands for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// reopenLimit returns how many requests a server may run after a pause.
func (h *health) reopenLimit(now time.Time) int {
	if h == nil || h.reopensAt.IsZero() {
		return math.MaxInt
	}
	steps := now.Sub(h.reopensAt) / reopenStep
	if steps >= maxReopenSteps {
		return math.MaxInt
	}
	return 1 << max(steps, 0)
}
