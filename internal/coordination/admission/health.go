package admission

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures after which a server is ejected.
	ejectAfterFailures = 2
	// Bounds of the time for which a server is ejected before one request probes it.
	minEjection = 400 * time.Millisecond
	maxEjection = 3 * time.Second
	// errorSmoothing is the weight of a new answer in the moving average of a server's error rate.
	errorSmoothing = 0.15
	// errorMargin is how far a server's error rate must exceed the mean of its service for the server to be ejected.
	// Some requests fail on healthy servers, too.
	errorMargin = 0.25
	// fullPause is the time for which a server that rejected a request as full gets no further requests.
	fullPause = 60 * time.Millisecond
)

// health is the state of a server as seen from its answers.
type health struct {
	// failures counts consecutive failures.
	failures int
	// errorRate is a moving average, from 0 to 1.
	errorRate float64
	// pausedUntil is the time until which the server gets no requests.
	pausedUntil time.Time
	// lastEjection is the length of the last ejection. It doubles with each ejection until a request succeeds.
	lastEjection time.Duration
	// suspect is set by an ejection or a ResultMoved until a request succeeds; probing is set while one request tests
	// the server.
	suspect bool
	probing bool
	// silent is set if the last ejection was for sending nothing for too long and the server has not resumed since.
	silent bool
	// reopensAt is when the pause ends that the server itself has asked for. Nothing is sent before, not even a probe.
	reopensAt time.Time
}

// available reports whether the server may get requests.
func (h *health) available(now time.Time) bool {
	if h == nil {
		return true
	}
	if now.Before(h.pausedUntil) || now.Before(h.reopensAt) {
		return false
	}
	return !h.suspect || !h.probing
}

// ejectedFor reports whether the server is ejected for a request that was granted before, which may be its probe.
func (h *health) ejectedFor(now time.Time, probe bool) bool {
	return h != nil && h.suspect && (!probe || now.Before(h.pausedUntil))
}

// record updates the health with the result of a request. meanErrorRate is the mean over the service's servers.
func (h *health) record(now time.Time, result Result, meanErrorRate float64) {
	switch result {
	case ResultOK:
		h.failures = 0
		h.errorRate -= errorSmoothing * h.errorRate
		h.suspect = false
		h.lastEjection = 0
	case ResultError:
		h.errorRate += errorSmoothing * (1 - h.errorRate)
		if h.errorRate > meanErrorRate+errorMargin {
			h.eject(now)
			h.errorRate = meanErrorRate
		}
	case ResultBroken, ResultUnreachable:
		h.failures++
		h.errorRate += errorSmoothing * (1 - h.errorRate)
		if h.suspect && now.Before(h.pausedUntil) {
			return // sent before the ejection, which the many requests on a server that has ended must not extend
		}
		if h.failures >= ejectAfterFailures || h.suspect || result == ResultUnreachable {
			h.eject(now)
		}
	case ResultInvalid:
		h.errorRate += errorSmoothing * (1 - h.errorRate)
		h.lastEjection = maxEjection
		h.eject(now)
	case ResultFull:
		if !now.Before(h.reopensAt) { // a server that named a time knows it better
			h.pausedUntil = later(h.pausedUntil, now.Add(fullPause))
		}
	case ResultMoved:
		h.pausedUntil = later(h.pausedUntil, now.Add(maxEjection))
		h.suspect, h.silent = true, false
	}
}

// recordQuiet updates the health when the server has sent nothing to a request for too long. Requests that become quiet
// while the server is ejected do not extend the ejection.
func (h *health) recordQuiet(now time.Time) {
	h.failures++
	h.errorRate += errorSmoothing * (1 - h.errorRate)
	if now.Before(h.pausedUntil) || h.failures < ejectAfterFailures && !h.suspect {
		return
	}
	h.eject(now)
	h.silent = true
}

// recordResumed updates the health when a quiet server has resumed. An ejection for the silence ends at once.
func (h *health) recordResumed(now time.Time) {
	h.failures = 0
	if !h.silent {
		return
	}
	h.silent, h.suspect = false, false
	h.lastEjection = 0
	h.pausedUntil = now
}

func (h *health) eject(now time.Time) {
	h.silent = false
	h.lastEjection = min(max(2*h.lastEjection, minEjection), maxEjection)
	h.pausedUntil = now.Add(h.lastEjection)
	h.suspect = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// meanErrorRateTTL is how long a computed mean error rate is reused. The mean changes slowly, and summing over a large
// pool takes longer than the rest of finishing a request.
const meanErrorRateTTL = 100 * time.Millisecond

// meanErrorRate is the mean error rate of a service's servers at a time.
type meanErrorRate struct {
	rate float64
	at   time.Time
}

// meanErrorRate returns the mean error rate of a service's servers.
func (c *Core) meanErrorRate(now time.Time, service string) float64 {
	if known, ok := c.meanErrorRates[service]; ok && now.Sub(known.at) < meanErrorRateTTL {
		return known.rate
	}
	servers := c.servers.ByService(service)
	sum := 0.0
	for _, server := range servers {
		if h := c.health[server.ID]; h != nil {
			sum += h.errorRate
		}
	}
	rate := sum / float64(max(len(servers), 1))
	c.meanErrorRates[service] = meanErrorRate{rate: rate, at: now}
	return rate
}
