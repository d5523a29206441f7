package discovery

import (
	"sync"
	"time"
)

const (
	// removalGrace is how long after an outage entries may be missing only because their servers have not written them
	// again. Servers need about two seconds; the rest of that time passes until the removal takes effect.
	removalGrace = 1800 * time.Millisecond
	// maxUnseenOutage is the longest time without an answer of the store in which no entry lapses. A server writes its entry
	// every 1.2 s, and the entry lapses after three times that.
	maxUnseenOutage = 2 * time.Second
)

// Contact is a router's uninterrupted contact with the store, told by ages.
type Contact struct {
	// Began is how long ago the first answer came since when no call has failed.
	Began time.Duration
	// Answered is how long ago the store last answered.
	Answered time.Duration
}

// storeContact records whether the store answers this router, and whether entries may have lapsed in an outage of the store. A
// loss of contact is an outage unless another router had contact meanwhile: only the entries of servers that reach the
// store then stay, so that those that are missing have been removed. It is safe for concurrent use.
type storeContact struct {
	mu sync.Mutex
	// answering is set if the store answered the last call.
	answering bool
	// beganAt is the first answer since the last failed call, and answeredAt the last answer.
	beganAt, answeredAt time.Time
	// lostAfter is the last answer before the last loss of contact, and graceFrom the first one after it. graceFrom is zero if
	// there was no outage; lostAfter is zero if other routers cannot tell.
	lostAfter, graceFrom time.Time
}

// recordAnswer records that the store has answered. It reports whether contact was lost before, and the time without an answer.
func (c *storeContact) recordAnswer(now time.Time) (regained bool, unanswered time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.answeredAt
	c.answeredAt = now
	if c.answering {
		return false, 0
	}
	c.answering = true
	// A loss in the grace after an outage does not hide that outage.
	if c.graceFrom.IsZero() || previous.After(c.graceFrom.Add(removalGrace)) {
		c.lostAfter = previous
	}
	c.beganAt, c.graceFrom = now, now
	if previous.IsZero() {
		return true, 0
	}
	return true, now.Sub(previous)
}

// recordFailure records that a call has failed. It reports whether contact is lost thereby.
func (c *storeContact) recordFailure() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.answering
	c.answering = false
	return lost
}

// recordRestore records that the store came back from an older copy, which may lack entries whatever contact others had.
func (c *storeContact) recordRestore(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAfter, c.graceFrom = time.Time{}, now
}

// isAnswering reports whether the store answered the last call.
func (c *storeContact) isAnswering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answering
}

// graceEnd returns the end of the period in which entries may be missing because of an outage.
func (c *storeContact) graceEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.graceFrom.IsZero() {
		return time.Time{}
	}
	return c.graceFrom.Add(removalGrace)
}

// current returns the present contact. It returns false if there is none.
func (c *storeContact) current(now time.Time) (Contact, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Contact{Began: now.Sub(c.beganAt), Answered: now.Sub(c.answeredAt)}, c.answering
}

// hear takes note of another router's contact. It reports whether that shows that the last loss of this router's contact was no
// outage of the store, which was not known before.
func (c *storeContact) hear(now time.Time, other Contact) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	began, answered := now.Add(-other.Began), now.Add(-other.Answered)
	if c.graceFrom.IsZero() || began.After(c.lostAfter) || c.graceFrom.Sub(answered) > maxUnseenOutage {
		return false
	}
	c.graceFrom = time.Time{}
	return true
}
