package main

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// evacuationFault is the name of the fault in which an operator evacuates a failure domain.
	evacuationFault = "evacuation"
	// firstDomain and secondDomain are the failure domains of the engines. The second one is evacuated.
	firstDomain, secondDomain = "a", "b"
	// evacuateTime is the time from the operator's write after which no router in touch may send requests to the domain.
	evacuateTime = 5 * time.Second
	// arrivalTolerance is the time by which a request that was sent in time may arrive later.
	arrivalTolerance = 200 * time.Millisecond
	evacuateKey      = "op/evacuate/" + secondDomain
)

// domainOf returns the failure domain of the engine with a number. Each service with more than one engine has some in
// both.
func domainOf(number int) string {
	switch number % len(engineServices) {
	case 4, 5, 8:
		return secondDomain
	default:
		return firstDomain
	}
}

// evacuateDomain evacuates a failure domain. Only one such fault runs at a time.
func evacuateDomain(ctx context.Context, d *deployment, _ int, duration time.Duration) {
	if !d.evacuating.TryLock() {
		return
	}
	defer d.evacuating.Unlock()
	d.writeEvacuation(time.Now())
	periodic.Sleep(ctx, evacuateTime+duration)
	d.writeEvacuation(time.Time{})
}

// writeEvacuation writes the key of the evacuation, or removes it if since is zero.
func (d *deployment) writeEvacuation(since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuatedSince = since
	d.writeEvacuationAgain()
}

// writeEvacuationAgain makes the store's state that of the operator. The deployment must be locked.
func (d *deployment) writeEvacuationAgain() {
	if d.evacuatedSince.IsZero() {
		d.store.Remove(evacuateKey)
	} else {
		d.store.Put(evacuateKey, []byte("{}"))
	}
}

// watchEvacuation reports requests that engines of the evacuated domain get later than evacuateTime and arrivalTolerance
// after the operator's write. Engines are checked only while all routers are undisturbed.
func (d *deployment) watchEvacuation(ctx context.Context) {
	counted := make(map[*engine]int)
	for ctx.Err() == nil {
		d.mu.Lock()
		now, since := time.Now(), d.evacuatedSince
		late := !since.IsZero() && now.Sub(since) > evacuateTime+arrivalTolerance && d.allUndisturbed(since, now)
		for i, e := range d.engines {
			if domainOf(i) != secondDomain {
				continue
			}
			count := len(e.Exchanges())
			if n := count - counted[e]; late && n > 0 && counted[e] > 0 {
				d.report.addViolation("%s: %d requests %v after the evacuation of its domain", e.ID, n, now.Sub(since))
			}
			counted[e] = count
		}
		d.mu.Unlock()
		periodic.Sleep(ctx, 100*time.Millisecond)
	}
}
