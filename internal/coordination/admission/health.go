package admission

import "time"

const (
	// ejectAfter is the number of failures in a row after which a server gets no requests for a while.
	ejectAfter = 2
	// Pauses before a failed server is tried again with one request.
	pauseMin = 400 * time.Millisecond
	pauseMax = 3 * time.Second
	// errorGain weighs a new answer in a server's share of failures.
	errorGain = 0.15
	// errorExcess is how far a server's share of failures must be above that of its service to eject it. Some requests
	// fail on healthy servers, too.
	errorExcess = 0.25
	// fullPause is how long a server that had no room gets no further requests.
	fullPause = 60 * time.Millisecond
)

// health is what a router knows of a server from its answers.
type health struct {
	failures int
	errors   float64
	// closedUntil is the end of a pause; probing says that one request tests the server.
	closedUntil time.Time
	pause       time.Duration
	suspect     bool
	probing     bool
}

// open reports whether the server may get requests.
func (h *health) open(now time.Time) bool {
	if h == nil {
		return true
	}
	if now.Before(h.closedUntil) {
		return false
	}
	return !h.suspect || !h.probing
}

// note records the end of a request. The usual share of failures is that of the whole service.
func (h *health) note(now time.Time, result Result, usual float64) {
	switch result {
	case ResultOK:
		h.failures = 0
		h.errors -= errorGain * h.errors
		h.suspect = false
		h.pause = 0
	case ResultError:
		h.errors += errorGain * (1 - h.errors)
		if h.errors > usual+errorExcess {
			h.close(now)
			h.errors = usual
		}
	case ResultBroken, ResultUnreachable:
		h.failures++
		h.errors += errorGain * (1 - h.errors)
		if h.failures >= ejectAfter || h.suspect || result == ResultUnreachable {
			h.close(now)
		}
	case ResultFull:
		h.closedUntil = later(h.closedUntil, now.Add(fullPause))
	case ResultMoved:
		h.closedUntil = later(h.closedUntil, now.Add(pauseMax))
		h.suspect = true
	}
}

func (h *health) close(now time.Time) {
	h.pause = min(max(2*h.pause, pauseMin), pauseMax)
	h.closedUntil = now.Add(h.pause)
	h.suspect = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// usualAge is how long the mean share of failures is used. It moves slowly, and its sum over a large pool takes longer
// than the rest of a request's end.
const usualAge = 100 * time.Millisecond

// usualErrors is the mean share of failures of a service's servers at a time.
type usualErrors struct {
	share float64
	at    time.Time
}

// usualErrors returns the mean share of failures of a service's servers.
func (c *Core) usualErrors(now time.Time, service string) float64 {
	if known, ok := c.usual[service]; ok && now.Sub(known.at) < usualAge {
		return known.share
	}
	servers := c.servers.ByService(service)
	sum := 0.0
	for _, server := range servers {
		if h := c.health[server.ID]; h != nil {
			sum += h.errors
		}
	}
	share := sum / float64(max(len(servers), 1))
	c.usual[service] = usualErrors{share: share, at: now}
	return share
}
