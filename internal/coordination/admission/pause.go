package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// recordPause records that an incarnation of a server wants no requests before a time. The pause holds for the incarnation,
// also while its entry in the store has lapsed or was overwritten. Load pattern: a busy server asks for a pause and does not
// reach the store for some seconds.
func (c *Core) recordPause(server *backends.Server, until time.Time) {
	if incarnation := server.Incarnation(); !c.servers.Has(incarnation) {
		c.pauses[incarnation] = later(c.pauses[incarnation], until)
		return
	}
	h := c.healthOf(server.ID)
	h.reopensAt = later(h.reopensAt, until)
}

// reopensAt returns the end of the pause that an incarnation of a server has asked for. It is zero if there is none.
func (c *Core) reopensAt(server *backends.Server) time.Time {
	incarnation := server.Incarnation()
	if !c.servers.Has(incarnation) {
		return c.pauses[incarnation]
	}
	if h := c.health[server.ID]; h != nil {
		return h.reopensAt
	}
	return time.Time{}
}

// keepPause keeps the pause of a server that is gone or has been replaced.
func (c *Core) keepPause(now time.Time, server *backends.Server) {
	if h := c.health[server.ID]; h != nil && !pauseEnded(now, h.reopensAt) {
		c.pauses[server.Incarnation()] = h.reopensAt
	}
}

// restorePauses puts the kept pauses of the servers in force that the store lists again.
func (c *Core) restorePauses() {
	for incarnation, until := range c.pauses {
		if c.servers.Has(incarnation) {
			delete(c.pauses, incarnation)
			c.recordPause(c.servers.Get(incarnation.ID), until)
		}
	}
}

// expirePauses drops the kept pauses that have ended.
func (c *Core) expirePauses(now time.Time) {
	for incarnation, until := range c.pauses {
		if pauseEnded(now, until) {
			delete(c.pauses, incarnation)
		}
	}
}

// pauseEnded reports whether a pause has ended and the server has its usual limits again.
func pauseEnded(now, until time.Time) bool {
	return until.IsZero() || now.Sub(until) >= maxReopenSteps*reopenStep
}
