package main

import (
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// maxCrossingTime is the time after the last byte of a request within which the router may close the connection
	// without an answer, if it did not pass the request on.
	maxCrossingTime = 200 * time.Millisecond
	// maxConfigAge is the longest time for which a router uses a configuration that was replaced, while its connection
	// to the store is disrupted.
	maxConfigAge = 10 * time.Second
	// deadlineMargin is how much earlier than its deadline a request may end for that reason.
	deadlineMargin = 50 * time.Millisecond
	// lastAcceptTime is the time after SIGTERM until which the router accepts requests that may still be in progress at
	// the end of the grace time.
	lastAcceptTime = 3 * time.Second
	// breakSlack is the time after the end of a fault in which answers may still end because of it.
	breakSlack = 300 * time.Millisecond
)

// span is the time from the beginning to the end of a fault.
type span struct{ from, to time.Time }

// beginBreak records the beginning of a fault in which an engine breaks off its answers or sends wrong ones. The
// returned function records its end.
func (d *deployment) beginBreak(e *engine) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(e.breaks)
	e.breaks = append(e.breaks, span{time.Now(), time.Now().Add(time.Hour)})
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		e.breaks[n].to = time.Now().Add(breakSlack)
	}
}

// brokeBetween reports whether an engine had a fault between two times in which it breaks off its answers.
func (d *deployment) brokeBetween(e *engine, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(e.breaks, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// checkEndings reports whole requests that ended without an answer, answers that ended early, and failures that were
// sent although the engines were silent for a while at most, unless there is an allowed reason.
func (d *deployment) checkEndings(list []sentRequest) {
	reached := d.enginesReached()
	for _, s := range list {
		engines := reached[s.id]
		took := s.end.Sub(s.start).Round(time.Millisecond)
		switch {
		case s.abandoned || s.written.IsZero() || s.router.killedOrPausedBetween(s.start, s.end) || s.endedByShutdown():
		case s.err != nil && s.status == 0 && (len(engines) > 0 || s.end.Sub(s.written) > maxCrossingTime):
			d.report.addViolation("%s %s: no answer from %s after %v: %v", s.id, s.path, s.router.name, took, s.err)
		case s.err != nil && s.status != 0 && !d.excused(s, engines):
			d.report.addViolation("%s %s: %s broke off the answer after %v: %v", s.id, s.path, s.router.name, took, s.err)
		case s.isFailure() && !d.excused(s, d.engines):
			d.report.addViolation("%s %s: needless %d from %s after %v", s.id, s.path, s.status, s.router.name, took)
		}
	}
}

// enginesReached returns the engines that each request reached, by its ID.
func (d *deployment) enginesReached() map[string][]*engine {
	reached := make(map[string][]*engine)
	for _, e := range d.engines {
		for _, x := range e.Exchanges() {
			reached[x.Attempt] = append(reached[x.Attempt], e)
		}
	}
	return reached
}

// isFailure reports whether the router answered a request that may be repeated with a failure of its own.
func (s sentRequest) isFailure() bool {
	return s.err == nil && s.repeatable() && (s.status == http.StatusBadGateway || s.status == http.StatusGatewayTimeout)
}

// excused reports whether an answer may end early, or a request may fail: its deadline was reached, or one of the
// engines had a fault in which it breaks off its answers.
func (d *deployment) excused(s sentRequest, engines []*engine) bool {
	return s.end.Sub(s.start) >= d.shortestTimeout(s.start, s.end)-deadlineMargin ||
		slices.ContainsFunc(engines, func(e *engine) bool { return d.brokeBetween(e, s.start, s.end) })
}

// repeatable reports whether the request may run more than once.
func (s sentRequest) repeatable() bool {
	return s.path == safeRoute || s.path == resumableRoute || s.path == summaryRoute
}

// endedByShutdown reports whether the request ended in the last sixth of the grace time of a graceful shutdown or
// later, and was sent early enough for that.
func (s sentRequest) endedByShutdown() bool {
	const lastSixthStart = graceSeconds * time.Second * 5 / 6
	return s.router.anyInterruption(func(i interruption) bool {
		return i.signal == syscall.SIGTERM && s.written.Before(i.at.Add(lastAcceptTime)) &&
			s.end.After(i.at.Add(lastSixthStart)) && s.start.Before(i.at.Add(graceSeconds*time.Second))
	})
}
