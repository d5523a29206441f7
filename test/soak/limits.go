package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// limitFault is the name of the fault in which engines name limits.
	limitFault = "limits"
	// limitWindow is the time over which the requests to a limited engine are counted, knownTime the time after which a
	// router that has passed on an answer with a limit must keep to it.
	limitWindow = 4 * time.Second
	knownTime   = 500 * time.Millisecond
	// limitPhase is the shortest time for which engines name one value; the time of the fault is added.
	limitPhase = 5 * time.Second
	// minLimitUse is the share of its limit that an engine must get if no other fault is injected.
	minLimitUse = 0.7
	// endTime is how long after the end of a limit an engine must get more than the limit if no other fault is injected.
	endTime = 4 * time.Second
)

// limitChange is a change of the limit that an engine names. A negative rate stands for the end.
type limitChange struct {
	at   time.Time
	rate float64
}

// limitEngines lets the engines of a service, or some of them, name one or two limits in turn.
func limitEngines(_ context.Context, d *deployment, pick int, duration time.Duration) {
	if !d.limiting.TryLock() {
		return
	}
	defer d.limiting.Unlock()
	ctx := context.Background() // a limit is always followed by its end
	service := d.engine(pick).service
	var engines []*engine
	for i, e := range d.engines {
		if e.service == service && (pick%2 == 0 || i%4 < 3) {
			engines = append(engines, e)
		}
	}
	for phase := range 1 + pick%2 {
		rate := []float64{1, 2.5, 0, 4, 1.5, 6}[(pick+2*phase)%6]
		for _, e := range engines {
			d.nameLimit(e, rate)
		}
		periodic.Sleep(ctx, limitPhase+duration)
	}
	for _, e := range engines {
		d.nameLimit(e, -1)
	}
	periodic.Sleep(ctx, endTime+time.Second)
}

// nameLimit makes an engine name a limit, or none if the rate is negative.
func (d *deployment) nameLimit(e *engine, rate float64) {
	text := ""
	if rate >= 0 {
		text = fmt.Sprint(rate)
	}
	e.SetLimit(text)
	d.mu.Lock()
	defer d.mu.Unlock()
	e.limits = append(e.limits, limitChange{at: time.Now(), rate: rate})
}

// limitedEngineOf returns the ID of the engine that names a limit in an answer, or an empty text.
func limitedEngineOf(h http.Header) string {
	if h.Get("Server-Limit") == "" {
		return ""
	}
	return strings.TrimPrefix(h.Get("Instance-Signature"), "sig-")
}

// limitSpan is a time in which an engine names limits without an end between them.
type limitSpan struct {
	from, to time.Time
	changes  []limitChange
}

// limitSpans returns the spans in which an engine named limits.
func (e *engine) limitSpans() []limitSpan {
	var spans []limitSpan
	var open *limitSpan
	for _, c := range e.limits {
		switch {
		case c.rate >= 0 && open == nil:
			open = &limitSpan{from: c.at, changes: []limitChange{c}}
		case c.rate >= 0:
			open.changes = append(open.changes, c)
		case open != nil:
			open.to = c.at
			spans = append(spans, *open)
			open = nil
		}
	}
	return spans
}

// highest returns the largest limit that was named up to a second before a window, or in it.
func (s limitSpan) highest(from time.Time) float64 {
	rate := 0.0
	for i, c := range s.changes {
		replaced := i+1 < len(s.changes) && s.changes[i+1].at.Before(from.Add(-time.Second))
		if !replaced && c.at.Before(from.Add(limitWindow)) {
			rate = max(rate, c.rate)
		}
	}
	return rate
}

// permitted returns the number of requests that the limits allow from a time to the end.
func (s limitSpan) permitted(from time.Time) float64 {
	sum := 0.0
	for i, c := range s.changes {
		end := s.to
		if i+1 < len(s.changes) {
			end = s.changes[i+1].at
		}
		if begin := later(c.at, from); end.After(begin) {
			sum += c.rate * end.Sub(begin).Seconds()
		}
	}
	return sum
}

// checkLimits reports engines that got more than one and a half times their limit and five requests in a window, later
// than settleTime after they first named one, from routers that had passed on such an answer. Restarts and freezes of
// a router, and cuts between the routers and the engine, excuse. Without other faults, it also reports engines that got far
// less than their limit, and limits that outlast their end.
func (d *deployment) checkLimits(list []sentRequest, faults []string) {
	alone := !slices.ContainsFunc(faults, func(name string) bool { return name != limitFault })
	for _, e := range d.engines {
		told := toldTimes(list, e.ID)
		for _, span := range e.limitSpans() {
			d.checkExcess(e, span, told)
			if alone {
				d.checkUse(e, span)
			}
		}
	}
}

// toldTimes returns the times at which routers passed on answers of an engine with a limit.
func toldTimes(list []sentRequest, engine string) map[*router][]time.Time {
	told := make(map[*router][]time.Time)
	for _, s := range list {
		if s.limited == engine {
			told[s.router] = append(told[s.router], s.limitedAt)
		}
	}
	return told
}

// checkExcess reports the first window in which an engine got too many requests.
func (d *deployment) checkExcess(e *engine, span limitSpan, told map[*router][]time.Time) {
	var counted []time.Time
	for _, x := range e.Exchanges() {
		a, ok := d.attemptOf(x)
		if !ok || x.At.Before(span.from.Add(settleTime)) || x.At.After(span.to) || d.cutBetween(e, x.At.Add(-settleTime), x.At) {
			continue
		}
		knows := slices.ContainsFunc(told[a.router], func(at time.Time) bool {
			return at.After(span.from) && x.At.Sub(at) >= knownTime
		})
		if knows && !a.router.interruptedBetween(x.At.Add(-settleTime), x.At) {
			counted = append(counted, x.At)
		}
	}
	for i, first := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		limit := span.highest(first)
		if allowed := 1.5*limit*limitWindow.Seconds() + 5; float64(n) > allowed {
			d.report.addViolation("%s: %d requests in %v with a limit of %v a second", e.ID, n, limitWindow, limit)
			return
		}
	}
}

// checkUse reports an engine that got far less than its limit, or did not get more after its end.
func (d *deployment) checkUse(e *engine, span limitSpan) {
	before, used, after := 0, 0, 0
	for _, x := range e.Exchanges() {
		switch {
		case x.At.Before(span.from):
			before++
		case x.At.After(span.from.Add(settleTime)) && x.At.Before(span.to):
			used++
		case x.At.After(span.to.Add(endTime-time.Second)) && x.At.Before(span.to.Add(endTime)):
			after++
		}
	}
	if before+used == 0 {
		return // no route leads to the service
	}
	if permitted := span.permitted(span.from.Add(settleTime)); float64(used) < minLimitUse*permitted {
		d.report.addViolation("%s: %d requests where its limits allow %.0f", e.ID, used, permitted)
	}
	last := span.changes[len(span.changes)-1].rate
	if float64(after) < last && after < 2 {
		d.report.addViolation("%s: %d requests in a second, %v after a limit of %v had ended", e.ID, after, endTime, last)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
