package scheduler

import "time"

// health is the circuit-breaker state of a backend server.
type health uint8

const (
	healthUp health = iota
	// healthEjected means that the backend server gets no work until its next probe is due, and then one request at a
	// time.
	healthEjected
)

// backend holds the in-flight limit and the number of requests in flight of a backend server.
type backend struct {
	Backend
	// index is the position in the scheduler's list, or -1 if the configuration no longer lists the backend server.
	index int
	// running is the number of requests in flight.
	running int

	// reportedSlots and reportedWaiting are 0 until a valid report arrives.
	reportedSlots   int
	reportedWaiting int
	// peakRunning is the largest reported number of running requests, lastRunning the latest one.
	peakRunning int
	lastRunning int
	// plateaued reports whether the reported number of running requests stopped growing with the requests in flight.
	plateaued bool
	// reportedAt is the time of the last valid report, if hasReport is true.
	reportedAt time.Duration
	hasReport  bool

	// rampLimit bounds the in-flight limit of a new or returning backend server; 0 means no bound.
	rampLimit int
	// refusalLimit is the in-flight limit learned from refusals; 0 means no bound.
	refusalLimit float64

	health     health
	failures   int
	probeAt    time.Duration
	probeDelay time.Duration
	// probe is the request in flight that tests an ejected backend server, or nil.
	probe *request

	// extraSlots is the number of requests beyond the reported slots that keep the batch full during one round trip.
	extraSlots int
	// limit is the in-flight limit at its last computation.
	limit int
	// cacheEpoch counts the times the cache was cleared. Index entries of earlier epochs are invalid.
	cacheEpoch uint32
}

func newBackend(b Backend) *backend {
	return &backend{Backend: b, rampLimit: rampStart}
}

// hasFreshReport reports whether there is a load report that is recent enough to be used.
func (b *backend) hasFreshReport(now time.Duration) bool {
	return b.hasReport && now < b.reportedAt+reportMaxAge
}

// accepting reports whether the configuration allows new work.
func (b *backend) accepting() bool { return b.index >= 0 && !b.Draining }

// slotLimit returns the in-flight limit that follows from slots alone. A report of 0 slots is disregarded: a backend
// server that accepts no work refuses it.
func (b *backend) slotLimit(now time.Duration) int {
	switch {
	case b.reportedSlots > 0 && b.hasFreshReport(now):
		return b.trustedSlots() + b.extraSlots
	case b.Slots > 0:
		return b.Slots
	case b.reportedSlots > 0:
		return b.trustedSlots()
	default:
		return defaultSlots
	}
}

// trustedSlots returns the reported slots, limited to the configured slots if there are any. Otherwise the limit is
// twice the largest reported number of running requests, or that number plus one once it has stopped growing. An engine
// that reports slots it does not have would queue requests internally, out of fair order.
func (b *backend) trustedSlots() int {
	learned := max(2*b.peakRunning, defaultSlots)
	switch {
	case b.Slots > 0:
		return min(b.reportedSlots, b.Slots)
	case b.plateaued:
		learned = b.peakRunning + 1
	}
	return min(b.reportedSlots, learned)
}

// observeRunning compares the reported number of running requests with the number in flight. Because reports lag, the
// number counts as plateaued only if it did not grow since the last report.
func (b *backend) observeRunning(running int) {
	if running > b.peakRunning {
		b.plateaued = false
	} else if b.running > b.peakRunning+1 && running <= b.lastRunning {
		b.plateaued = true
	}
	b.peakRunning = max(b.peakRunning, running)
	b.lastRunning = running
}

// limitAt returns the in-flight limit at the given time.
func (b *backend) limitAt(now time.Duration) int {
	if !b.accepting() {
		return 0
	}
	if b.health == healthEjected {
		return b.probeLimit(now)
	}
	limit := b.slotLimit(now)
	if b.hasFreshReport(now) && b.reportedWaiting > 1 {
		limit -= b.reportedWaiting - 1
	}
	if b.refusalLimit > 0 {
		limit = min(limit, int(b.refusalLimit))
	}
	if b.rampLimit > 0 {
		limit = min(limit, b.rampLimit)
	}
	return max(limit, 1)
}

func (b *backend) probeLimit(now time.Duration) int {
	if now < b.probeAt || b.probe != nil {
		return 0
	}
	return b.running + 1
}

// available reports whether the backend server may get another request.
func (b *backend) available() bool { return b.running < b.limit }

// recordLoad stores a load report unless it is invalid, implausible or contradicts the requests in flight.
func (b *backend) recordLoad(now time.Duration, r LoadReport) {
	if r.Slots < 0 || r.Running < 0 || r.Waiting < 0 {
		return
	}
	if r.Running == 0 && r.Waiting == 0 && b.running > 0 {
		return
	}
	if b.implausible(r) {
		return
	}
	b.hasReport = true
	b.reportedAt = now
	b.reportedSlots = r.Slots
	b.reportedWaiting = r.Waiting
	b.observeRunning(r.Running)
	if b.rampLimit > 0 && r.Running > b.rampLimit {
		b.rampLimit = r.Running
	}
}

func (b *backend) implausible(r LoadReport) bool {
	if r.Slots > maxReportedSlots {
		return true
	}
	if b.Slots > 0 && r.Slots > implausibleFactor*b.Slots {
		return true
	}
	return r.Running > implausibleFactor*max(r.Slots, b.Slots, defaultSlots)
}

// recordSuccess records a complete answer. It readmits an ejected backend server and otherwise raises its limits.
func (b *backend) recordSuccess(now time.Duration) {
	b.failures = 0
	if b.health == healthEjected {
		b.readmit()
		return
	}
	if b.rampLimit > 0 {
		b.rampLimit *= 2
		if b.rampLimit >= b.slotLimit(now) {
			b.rampLimit = 0
		}
	}
	b.raiseRefusalLimit(now)
}

// raiseRefusalLimit raises the limit learned from refusals after a complete answer, by about one request per round of
// answers, to find out whether there is capacity again.
func (b *backend) raiseRefusalLimit(now time.Duration) {
	if b.refusalLimit == 0 {
		return
	}
	b.refusalLimit += 1 / b.refusalLimit
	if b.refusalLimit >= float64(b.slotLimit(now)) {
		b.refusalLimit = 0
	}
}

// readmit ends the ejection after a successful probe.
func (b *backend) readmit() {
	b.health = healthUp
	b.failures = 0
	b.probeDelay = 0
	b.refusalLimit = 0
	b.rampLimit = rampStart
}

// recordFailure records an error answer or an incomplete answer. It shows that connections work, so that the ramp-up
// continues, but slowly: otherwise a backend server that fails immediately would attract all requests.
func (b *backend) recordFailure(now time.Duration, probe bool) {
	if b.health == healthEjected {
		if probe {
			b.postponeProbe(now)
		}
		return
	}
	if b.rampLimit > 0 {
		b.rampLimit++
	}
}

// recordRefusal records a refused request or a failed connection. Refusals of requests sent before the ejection do not
// delay the probe.
func (b *backend) recordRefusal(now time.Duration, probe bool) {
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
	b.refusalLimit = max(1, float64(b.running-1))
}

func (b *backend) postponeProbe(now time.Duration) {
	b.probeDelay = min(max(2*b.probeDelay, probeDelayMin), probeDelayMax)
	b.probeAt = now + b.probeDelay
}
