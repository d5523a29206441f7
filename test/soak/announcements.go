package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

const (
	// pauseSlack is the time after a request for a pause in which requests may still arrive. maxRequestsInPause is the
	// number of requests that may arrive in the rest of the pause.
	pauseSlack         = 500 * time.Millisecond
	maxRequestsInPause = 2
	// leavingTime is how long a leaving engine goes on answering, beyond the drain time.
	leavingTime = 1500 * time.Millisecond
	// memoryCheckPeriod is how often the memory of the routers is checked.
	memoryCheckPeriod = 100 * time.Millisecond
)

// attempt is a request that a client sent.
type attempt struct {
	router *router
	start  time.Time
}

// leavingOf returns the engine incarnation that announces in an answer that it leaves, or a zero value.
func leavingOf(h http.Header) incarnation {
	if h.Get("Server-Leaving") == "" {
		return incarnation{}
	}
	number, err := strconv.Atoi(h.Get("Instance-Incarnation"))
	if err != nil {
		return incarnation{}
	}
	return incarnation{engine: strings.TrimPrefix(h.Get("Instance-Signature"), "sig-"), number: number}
}

// leaveEngine lets an engine announce in its answers that it leaves, while the store lists it as ready, and then replaces
// it by a new incarnation.
func leaveEngine(ctx context.Context, d *deployment, pick int, duration time.Duration) {
	e := d.engine(pick)
	e.SetLeaving(true)
	periodic.Sleep(ctx, duration+drainTime+leavingTime)
	number := e.Restart()
	d.mu.Lock()
	defer d.mu.Unlock()
	e.born = int64(number) + 1
	d.writeEngineEntry(e, "ready")
}

// pauseEngine lets an engine turn requests away and ask for a pause, which shrinks until it ends.
func pauseEngine(ctx context.Context, d *deployment, pick int, duration time.Duration) {
	e := d.engine(pick)
	end := time.Now().Add(2 * duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		e.SetRetryAfter(fmt.Sprintf("%.3f", max(time.Until(end).Seconds(), 0.05)))
		periodic.Sleep(ctx, 20*time.Millisecond)
	}
	e.SetRetryAfter("")
}

// recordCut records that a fault which keeps answers from the routers begins or ends.
func (d *deployment) recordCut(e *engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.cuts = append(e.cuts, time.Now())
}

// anyInterruption reports whether a signal that ends, suspends or resumes the process meets a condition.
func (r *router) anyInterruption(condition func(interruption) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.interruptions, condition)
}

// interruptedBetween reports whether the process was ended or suspended between two times.
func (r *router) interruptedBetween(from, to time.Time) bool {
	return r.anyInterruption(func(i interruption) bool { return i.at.After(from) && i.at.Before(to) })
}

// killedOrPausedBetween reports whether the process was killed, suspended or resumed between two times. A graceful
// shutdown does not count.
func (r *router) killedOrPausedBetween(from, to time.Time) bool {
	return r.anyInterruption(func(i interruption) bool {
		if i.signal == syscall.SIGKILL {
			// A busy machine ends a process some time after the signal, and requests may start meanwhile.
			return i.at.Before(to) && (i.restarted.IsZero() || i.restarted.After(from))
		}
		return i.signal != syscall.SIGTERM && i.at.After(from) && i.at.Before(to)
	})
}

// attemptOf returns the attempt of a request that an engine received.
func (d *deployment) attemptOf(x platformengine.Exchange) (attempt, bool) {
	value, ok := d.attempts.Load(x.Attempt)
	if !ok {
		return attempt{}, false
	}
	return value.(attempt), true
}

// checkLeaving reports requests that clients sent later than the drain time after the router had passed on an answer of
// an engine which said that it leaves, and that reached that engine all the same.
func (d *deployment) checkLeaving(list []sentRequest) {
	for _, s := range list {
		if s.leaving == (incarnation{}) || s.err != nil {
			continue
		}
		for _, e := range d.engines {
			if e.ID != s.leaving.engine {
				continue
			}
			for _, x := range e.Exchanges() {
				a, ok := d.attemptOf(x)
				if ok && x.Incarnation == s.leaving.number && a.router == s.router && a.start.Sub(s.end) > drainTime &&
					!s.router.interruptedBetween(s.end, x.At) {
					d.report.addViolation("%s: %s reached it from %s %v after it had announced its leaving",
						e.ID, x.Attempt, s.router.name, x.At.Sub(s.end))
				}
			}
		}
	}
}

// checkPauses reports engines that got more requests from a router than allowed in a pause for which they had asked it.
func (d *deployment) checkPauses() {
	for _, e := range d.engines {
		exchanges := e.Exchanges()
		for _, x := range exchanges {
			a, ok := d.attemptOf(x)
			if !ok || x.Pause <= pauseSlack {
				continue
			}
			from, to := x.At.Add(pauseSlack), x.At.Add(x.Pause)
			if d.cutBetween(e, x.At.Add(-pauseSlack), to) || a.router.interruptedBetween(x.At, to) {
				continue
			}
			if n := d.countArrivals(exchanges, a.router, from, to); n > maxRequestsInPause {
				d.report.addViolation("%s: %d requests from %s in a pause of %v", e.ID, n, a.router.name, x.Pause)
				break
			}
		}
	}
}

// cutBetween reports whether a fault that keeps an engine's answers from the routers began or ended between two times.
func (d *deployment) cutBetween(e *engine, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(e.cuts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// countArrivals counts the requests of a router between two times.
func (d *deployment) countArrivals(list []platformengine.Exchange, r *router, from, to time.Time) int {
	n := 0
	for _, x := range list {
		a, ok := d.attemptOf(x)
		if ok && a.router == r && x.At.After(from) && x.At.Before(to) {
			n++
		}
	}
	return n
}

// watchMemory reports routers whose memory exceeds their limit.
func (d *deployment) watchMemory(ctx context.Context) {
	reported := make(map[string]bool)
	for ctx.Err() == nil {
		for _, r := range d.routers {
			used := r.residentMB()
			d.report.recordMemory(used)
			if used > memoryLimitMB && !reported[r.name] {
				reported[r.name] = true
				d.report.addViolation("%s: %d MiB of memory, the limit is %d", r.name, used, memoryLimitMB)
			}
		}
		periodic.Sleep(ctx, memoryCheckPeriod)
	}
}

// residentMB returns the resident memory of the process in MiB, or 0 if it has ended.
func (r *router) residentMB() int {
	r.mu.Lock()
	pid := r.cmd.Process.Pid
	r.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kib >> 10
}
