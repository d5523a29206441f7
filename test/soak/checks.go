package main

import (
	"context"
	"net/http"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// countRuns returns how often the engines ran an attempt, as a sum over all engines.
func (d *deployment) countRuns(id string) int {
	n := 0
	for _, e := range d.engines {
		n += e.Runs(id)
	}
	return n
}

// checkRequests compares the answers to the requests of a run with the number of times that the engines ran them.
func (d *deployment) checkRequests(list []sentRequest) {
	for _, s := range list {
		runs := d.countRuns(s.id)
		if runs > 1 && (s.path == unsafeRoute || s.path == streamRoute) {
			d.report.addViolation("%s %s: ran %d times", s.id, s.path, runs)
		}
		if s.status == http.StatusServiceUnavailable && runs > 0 && !s.repeatable() {
			d.report.addViolation("%s %s: refused, but ran", s.id, s.path)
		}
		d.checkKey(s, runs)
	}
}

// checkKey reports a request that ran although its API key had been removed more than revokeTime before it was sent.
func (d *deployment) checkKey(s sentRequest, runs int) {
	d.mu.Lock()
	removed := d.keys[s.key]
	d.mu.Unlock()
	if !removed.IsZero() && runs > 0 && s.start.Sub(removed) > revokeTime {
		d.report.addViolation("%s: ran with %s, which was removed %v before", s.id, s.key, s.start.Sub(removed))
	}
}

// watchVersions polls the routes that exist in only one version of the configuration. It reports a router process that
// serves such a route after it served the route of a newer version.
func (d *deployment) watchVersions(ctx context.Context) {
	type seen struct {
		incarnation time.Time
		version     int
	}
	highest := map[string]seen{}
	transport := &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		for _, r := range d.routers {
			d.mu.Lock()
			version := d.version
			var key string
			for k, removed := range d.keys {
				if removed.IsZero() {
					key = k
				}
			}
			d.mu.Unlock()
			incarnation := r.incarnation()
			for v := version; v >= max(version-1, 1); v-- {
				s := d.send(ctx, transport, r, versionRoute(v), key)
				if s.status != http.StatusOK {
					continue
				}
				before := highest[r.name]
				if before.incarnation.Equal(incarnation) && v < before.version && r.incarnation().Equal(incarnation) {
					d.report.addViolation("%s: serves version %d after %d", r.name, v, before.version)
				}
				highest[r.name] = seen{incarnation, max(v, before.version)}
				break
			}
		}
		periodic.Sleep(ctx, 200*time.Millisecond)
	}
}

// watchDraining reports requests that an engine gets later than drainTime plus 200 ms after it was announced as
// draining. Engines are checked only while all routers are undisturbed.
func (d *deployment) watchDraining(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		now := time.Now()
		for _, e := range d.engines {
			if e.drainingSince.IsZero() || now.Sub(e.drainingSince) < drainTime+200*time.Millisecond ||
				!d.allUndisturbed(e.drainingSince, now) {
				e.ResetArrivals()
				continue
			}
			if n := e.Arrivals(); n > 0 {
				d.report.addViolation("%s: %d requests %v after it started draining", e.ID, n, now.Sub(e.drainingSince))
				e.ResetArrivals()
			}
		}
		d.mu.Unlock()
		periodic.Sleep(ctx, 100*time.Millisecond)
	}
}

// allUndisturbed reports whether all routers are undisturbed at both times.
func (d *deployment) allUndisturbed(from, to time.Time) bool {
	for _, r := range d.routers {
		if !r.undisturbed(from) || !r.undisturbed(to) {
			return false
		}
	}
	return true
}
