package admission

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/relay"
)

const (
	// sendReserve is the part of the objective that is reserved for the transfer to the engine and its backlog.
	sendReserve = 150 * time.Millisecond
	// Bounds of the wait in the queue as fractions of the objective. A request whose first event would be late in any
	// case may still wait for the lower one.
	minWaitFraction = 0.25
	maxWaitFraction = 0.7
	// Bounds of the retry time of a refused client.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// lateRetryAfter is the mean retry time after a refusal as late or without a server. It is the time constant with
	// which shares move between teams.
	lateRetryAfter = 400 * time.Millisecond
	// spreadFraction is how far the retry times of refused clients are spread, as a fraction.
	spreadFraction = 0.3
	// maxQueueFraction is the fraction of the longest possible wait for which a team may queue. A longer queue would
	// make all of its requests wait for the longest time and serve no more of them.
	maxQueueFraction = 0.35
)

// refusalTime returns the time at which a waiting request is refused because its first event could no longer come in
// time.
func (c *Core) refusalTime(req *Request) time.Time {
	reserve := constantReserve(req)
	if m := c.speedModel(req.Service); m != nil {
		reserve = observedReserve(req, m)
	}
	minWait := time.Duration(minWaitFraction * float64(req.Objective))
	maxWait := time.Duration(maxWaitFraction * float64(req.Objective))
	return req.Arrival.Add(min(max(req.Objective-reserve, minWait), maxWait))
}

// constantReserve returns the part of a request's objective that it needs after its grant, at a server of the assumed speed.
func constantReserve(req *Request) time.Duration {
	if req.Service.Engine == nil {
		return sendReserve
	}
	return sendReserve + time.Duration(float64(ownTokens(req))/initialPrefillRate*float64(time.Millisecond))
}

// ownTokens returns the number of prompt tokens that a request shares with no other.
func ownTokens(req *Request) int {
	return max(req.PromptTokens-tokensOf(relay.SharedParts(req.Parts)), 0)
}

// waitsTooLong predicts whether a new request would wait too long behind those of its team and kind. It returns the
// expected wait. A team below its share is granted first and has the observed rate for itself; a team above it shares
// the rate with the other waiting teams. While engines have free capacity, a team below its share may get more than the
// observed rate, so that no wait can be predicted.
func (c *Core) waitsTooLong(now time.Time, q *queue, t *Ticket) (time.Duration, bool) {
	if t.Repeat {
		return 0, false
	}
	overShare := c.shares.overShare(c.shares.served[t.Team])
	teams := 1
	if overShare {
		teams = len(q.teams)
	}
	wait, ok := q.expectedWait(now, flowOf(t), teams)
	if !ok || wait <= time.Duration(maxQueueFraction*float64(t.refuseAt.Sub(now))) {
		return 0, false
	}
	return wait, overShare || !c.hasCapacity(now, t.Service)
}

// refuseLate refuses the requests that have waited too long or passed their deadline.
func (c *Core) refuseLate(now time.Time, q *queue) {
	for _, team := range q.teams {
		for _, t := range team.tickets() {
			switch {
			case !now.Before(t.Deadline):
				q.remove(t)
				c.refuse(t, ReasonDeadline, 0)
			case !now.Before(t.refuseAt):
				q.remove(t)
				c.refuse(t, ReasonLate, c.jitter.around(lateRetryAfter))
			}
		}
	}
}

// refuseWithoutServer refuses a request because no server takes requests. It reports false if the request waits because
// a server that asked for a pause, or has a limit, takes requests again soon enough.
func (c *Core) refuseWithoutServer(now time.Time, q *queue, t *Ticket) bool {
	next := c.nextOpening(now, &t.Request)
	switch {
	case c.allEvacuated(t.Service.Name):
		q.remove(t)
		c.refuse(t, ReasonEvacuated, c.jitter.around(evacuatedRetryAfter))
	case !next.paused && !next.limited:
		q.remove(t)
		c.refuse(t, ReasonNoServer, c.jitter.around(lateRetryAfter))
	case !next.forRequest.IsZero() && next.forRequest.Before(t.refuseAt):
		return false
	case next.limited:
		q.remove(t)
		c.refuse(t, ReasonLimited, c.returnAfter(now, q, t.Service.Name, next.at.Sub(now)))
	default:
		q.remove(t)
		c.refuse(t, ReasonPaused, c.jitter.above(next.at.Sub(now)))
	}
	return true
}

// RetryAfterPause returns the time after which a client may retry a request that a server refused while asking for a
// pause. It returns false if the server has not asked for one or the pause is over.
func (c *Core) RetryAfterPause(now time.Time, server string) (time.Duration, bool) {
	h := c.health[server]
	if h == nil || !now.Before(h.reopensAt) {
		return 0, false
	}
	return c.jitter.above(h.reopensAt.Sub(now)), true
}

// jitter randomizes the retry times of refused clients, so that they do not all retry at once.
type jitter struct {
	state uint64
}

// next returns a pseudo-random number from 0 to below 1.
func (j *jitter) next() float64 {
	j.state ^= j.state << 13
	j.state ^= j.state >> 7
	j.state ^= j.state << 17
	return float64(j.state%1024) / 1024
}

// around returns a time within 30% of d, clamped to the bounds of retry times.
func (j *jitter) around(d time.Duration) time.Duration {
	factor := 1 - spreadFraction + 2*spreadFraction*j.next()
	return min(max(time.Duration(factor*float64(d)), minRetryAfter), maxRetryAfter)
}

// above returns a time from d to 30% above it, at least minRetryAfter. It is not clamped, since a client that returns
// before d is refused again.
func (j *jitter) above(d time.Duration) time.Duration {
	return max(d, minRetryAfter) + time.Duration(spreadFraction*j.next()*float64(max(d, minRetryAfter)))
}
