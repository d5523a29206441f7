package scheduler

import "time"

// health is the circuit state of a backend server.
type health uint8

const (
	healthUp health = iota
	// healthEjected gets no work until its next probe is due, and then one request at a time.
	healthEjected
)

// backend is the in-flight account of a backend server.
type backend struct {
	Backend
	// index is the position in the scheduler's list; -1 when the configuration no longer lists it.
	index   int
	running int

	// reportedSlots is 0 until a valid report came.
	reportedSlots int
	waiting       int
	// peak is the largest number of running requests reported, lastRunning the latest.
	peak        int
	lastRunning int
	// stuck says that the reported number did not grow with the requests in flight.
	stuck      bool
	reportedAt time.Duration
	reported   bool

	// ramp bounds a fresh or returning backend server; 0 means no bound.
	ramp int
	// ceiling is the in-flight number learned from refusals; 0 means no bound.
	ceiling float64

	health     health
	failures   int
	probeAt    time.Duration
	probeDelay time.Duration
	// probe is the request that tests an ejected backend server.
	probe *request

	// extra is the number of requests beyond the reported slots that keep the batch full over one round trip.
	extra int
	// limit is the in-flight limit at the last refresh.
	limit int
	// cacheEpoch invalidates the hints recorded before the cache was cleared.
	cacheEpoch uint32
}

func newBackend(b Backend) *backend {
	return &backend{Backend: b, ramp: rampStart}
}

// fresh says whether the last load report may still be used.
func (b *backend) fresh(now time.Duration) bool {
	return b.reported && now < b.reportedAt+reportStale
}

// accepting says whether the configuration allows new work.
func (b *backend) accepting() bool { return b.index >= 0 && !b.Draining }

// base is the limit from slots alone. Reported slots of 0 say nothing: a backend server that takes no work refuses it.
func (b *backend) base(now time.Duration) int {
	switch {
	case b.reportedSlots > 0 && b.fresh(now):
		return b.believedSlots() + b.extra
	case b.Slots > 0:
		return b.Slots
	case b.reportedSlots > 0:
		return b.believedSlots()
	default:
		return unknownSlots
	}
}

// believedSlots bounds the reported slots: by the configured ones, or else by twice the largest number of requests that
// the backend server was seen to run, and by one more than that number when it stopped growing. An engine that claims
// slots it does not have would queue requests out of fair order.
func (b *backend) believedSlots() int {
	seen := max(2*b.peak, unknownSlots)
	switch {
	case b.Slots > 0:
		return min(b.reportedSlots, b.Slots)
	case b.stuck:
		seen = b.peak + 1
	}
	return min(b.reportedSlots, seen)
}

// observeRunning compares the reported number of running requests with those in flight. Reports lag, so that only a
// number that did not grow since the last report counts as stuck.
func (b *backend) observeRunning(running int) {
	if running > b.peak {
		b.stuck = false
	} else if b.running > b.peak+1 && running <= b.lastRunning {
		b.stuck = true
	}
	b.peak = max(b.peak, running)
	b.lastRunning = running
}

// limitAt returns the number of requests that may run at once.
func (b *backend) limitAt(now time.Duration) int {
	if !b.accepting() {
		return 0
	}
	if b.health == healthEjected {
		return b.probeLimit(now)
	}
	limit := b.base(now)
	if b.fresh(now) && b.waiting > 1 {
		limit -= b.waiting - 1
	}
	if b.ceiling > 0 {
		limit = min(limit, int(b.ceiling))
	}
	if b.ramp > 0 {
		limit = min(limit, b.ramp)
	}
	return max(limit, 1)
}

func (b *backend) probeLimit(now time.Duration) int {
	if now < b.probeAt || b.probe != nil {
		return 0
	}
	return b.running + 1
}

// available says whether the backend server may get another request.
func (b *backend) available() bool { return b.running < b.limit }

// report takes in a load report unless it is absurd or contradicts the requests in flight.
func (b *backend) report(now time.Duration, r LoadReport) {
	if r.Slots < 0 || r.Running < 0 || r.Waiting < 0 {
		return
	}
	if r.Running == 0 && r.Waiting == 0 && b.running > 0 {
		return
	}
	if b.absurd(r) {
		return
	}
	b.reported = true
	b.reportedAt = now
	b.reportedSlots = r.Slots
	b.waiting = r.Waiting
	b.observeRunning(r.Running)
	if b.ramp > 0 && r.Running > b.ramp {
		b.ramp = r.Running
	}
}

func (b *backend) absurd(r LoadReport) bool {
	if r.Slots > maxReportedSlots {
		return true
	}
	if b.Slots > 0 && r.Slots > absurdFactor*b.Slots {
		return true
	}
	return r.Running > absurdFactor*max(r.Slots, b.Slots, unknownSlots)
}

// succeeded records a complete answer.
func (b *backend) succeeded(now time.Duration) {
	b.failures = 0
	if b.health == healthEjected {
		b.comeBack()
		return
	}
	if b.ramp > 0 {
		b.ramp *= 2
		if b.ramp >= b.base(now) {
			b.ramp = 0
		}
	}
	b.raiseCeiling(now)
}

// raiseCeiling probes for capacity again: about one more request per round of answers.
func (b *backend) raiseCeiling(now time.Duration) {
	if b.ceiling == 0 {
		return
	}
	b.ceiling += 1 / b.ceiling
	if b.ceiling >= float64(b.base(now)) {
		b.ceiling = 0
	}
}

// comeBack closes the circuit after a successful probe.
func (b *backend) comeBack() {
	b.health = healthUp
	b.failures = 0
	b.probeDelay = 0
	b.ceiling = 0
	b.ramp = rampStart
}

// failed records an answer with an error or a broken one. It shows that connections work, so that the ramp-up goes on,
// but slowly: a backend server that fails at once would otherwise draw all work.
func (b *backend) failed(now time.Duration, probe bool) {
	if b.health == healthEjected {
		if probe {
			b.postponeProbe(now)
		}
		return
	}
	if b.ramp > 0 {
		b.ramp++
	}
}

// refused records a refused or failed connection. Refusals of requests sent before the ejection do not delay the probe.
func (b *backend) refused(now time.Duration, probe bool) {
	b.failures++
	if b.health == healthEjected {
		if probe {
			b.postponeProbe(now)
		}
		return
	}
	if b.failures >= ejectFailures {
		b.health = healthEjected
		b.postponeProbe(now)
		return
	}
	b.ceiling = max(1, float64(b.running-1))
}

func (b *backend) postponeProbe(now time.Duration) {
	b.probeDelay = min(max(2*b.probeDelay, probeDelayMin), probeDelayMax)
	b.probeAt = now + b.probeDelay
}
