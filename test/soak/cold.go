package main

import (
	"context"
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// coldFault is the name of the fault in which engines restart and are cold.
	coldFault = "cold"
	// coldPerSecond is the number of requests a second that a cold engine tolerates, coldTime how long it is cold.
	coldPerSecond = 12.0
	coldTime      = 3 * time.Second
	// coldOverrun and coldSlack bound the requests to a cold engine in coldWindow: coldPerSecond * coldOverrun + coldSlack.
	coldOverrun = 1.5
	coldSlack   = 5
	coldWindow  = time.Second
	// heartbeat is how often a cold engine writes for how long it still is.
	heartbeat = 1200 * time.Millisecond
	// coldSettleTime is the time after the restart from which the requests are counted: those that were on their way to the
	// earlier incarnation still arrive.
	coldSettleTime = 200 * time.Millisecond
)

// restartCold restarts the engines of a service, which are then cold and say so in their entries and responses.
func restartCold(_ context.Context, d *deployment, pick int, _ time.Duration) {
	if !d.cooling.TryLock() {
		return
	}
	defer d.cooling.Unlock()
	ctx := context.Background() // a cold engine always becomes warm
	d.changeConfig(func(s *settings) { s.coldPerSecond = coldPerSecond })
	periodic.Sleep(ctx, configTime)
	service := []string{poolService, appService}[pick%2]
	begin := time.Now()
	for left := coldTime; ; left = coldTime - time.Since(begin) {
		d.writeCold(service, max(left, 0), left == coldTime)
		if left <= 0 {
			break
		}
		periodic.Sleep(ctx, min(heartbeat, left))
	}
	periodic.Sleep(ctx, coldTime)
}

// writeCold makes the entries of a service's engines say for how long they are cold. If restart is set, they restart first.
func (d *deployment) writeCold(service string, left time.Duration, restart bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.engines {
		if e.service != service {
			continue
		}
		if restart {
			e.born = int64(e.Restart()) + 1
			e.SetCold(left)
			e.colds = append(e.colds, span{from: time.Now(), to: time.Now().Add(left)})
		}
		e.coldLeft = fmt.Sprintf(`,"coldLeftMs":%d`, left.Milliseconds())
		state := "ready"
		if !e.drainingSince.IsZero() {
			state = "draining"
		}
		d.writeEngineEntry(e, state)
	}
}

// checkCold reports engines that got more requests from all routers in a window than a cold one tolerates.
func (d *deployment) checkCold() {
	for _, e := range d.engines {
		for _, cold := range e.colds {
			var arrivals []time.Time
			for _, x := range e.Exchanges() {
				if x.At.After(cold.from.Add(coldSettleTime)) && x.At.Before(cold.to) {
					arrivals = append(arrivals, x.At)
				}
			}
			if n := mostWithin(arrivals, coldWindow); float64(n) > coldPerSecond*coldOverrun+coldSlack {
				d.report.addViolation("%s: %d requests in %v while it was cold", e.ID, n, coldWindow)
			}
		}
	}
}

// mostWithin returns the largest number of the times, in ascending order, that lie within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
