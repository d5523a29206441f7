package main

import (
	"context"
	"net/http"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// runs sums how often an attempt ran.
func (w *world) runs(id string) int {
	n := 0
	for _, e := range w.engines {
		n += e.Runs(id)
	}
	return n
}

// checkSent checks the requests of a run against what the engines saw.
func (w *world) checkSent(list []sent) {
	for _, s := range list {
		runs := w.runs(s.id)
		if runs > 1 && (s.path == unsafeRoute || s.path == streamRoute) {
			w.report.broken("%s %s: ran %d times", s.id, s.path, runs)
		}
		if s.status == http.StatusServiceUnavailable && runs > 0 && s.path != resumableRoute && s.path != safeRoute {
			w.report.broken("%s %s: refused, but ran", s.id, s.path)
		}
		w.checkKey(s, runs)
		w.checkStop(s, runs)
	}
}

// checkKey checks that a removed key did not work after its time.
func (w *world) checkKey(s sent, runs int) {
	w.mu.Lock()
	removed := w.keys[s.key]
	w.mu.Unlock()
	if !removed.IsZero() && runs > 0 && s.began.Sub(removed) > revokeTime {
		w.report.broken("%s: ran with %s, which was removed %v before", s.id, s.key, s.began.Sub(removed))
	}
}

// checkStop checks that a planned stop cut no request that had time to end.
func (w *world) checkStop(s sent, runs int) {
	if !s.broken || runs == 0 || !s.touched {
		return
	}
	s.router.mu.Lock()
	stopping, disturbed := s.router.stopping, s.router.disturbed
	s.router.mu.Unlock()
	if stopping.IsZero() || disturbed.After(s.began) {
		return
	}
	if s.began.Before(stopping) && s.ended.After(stopping) && s.ended.Sub(stopping) < graceSeconds*time.Second*5/6 && s.path == unsafeRoute {
		w.report.broken("%s %s: cut %v after SIGTERM", s.id, s.path, s.ended.Sub(stopping))
	}
}

// watchVersions checks on each router that a route of a replaced configuration does not come back.
func (w *world) watchVersions(ctx context.Context) {
	type seen struct {
		incarnation time.Time
		version     int
	}
	highest := map[string]seen{}
	transport := &http.Transport{DisableKeepAlives: true}
	for ctx.Err() == nil {
		for _, r := range w.routers {
			w.mu.Lock()
			version := w.version
			var key string
			for k, removed := range w.keys {
				if removed.IsZero() {
					key = k
				}
			}
			w.mu.Unlock()
			incarnation := r.incarnation()
			for v := version; v >= max(version-1, 1); v-- {
				s := w.send(ctx, transport, r, versionRoute(v), key)
				if s.status != http.StatusOK {
					continue
				}
				before := highest[r.name]
				if before.incarnation.Equal(incarnation) && v < before.version && r.incarnation().Equal(incarnation) {
					w.report.broken("%s: serves version %d after %d", r.name, v, before.version)
				}
				highest[r.name] = seen{incarnation, max(v, before.version)}
				break
			}
		}
		periodic.Sleep(ctx, 200*time.Millisecond)
	}
}

// watchLeaving checks that engines that leave get nothing after their time.
func (w *world) watchLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		for _, e := range w.engines {
			if e.leaving.IsZero() || now.Sub(e.leaving) < drainTime+200*time.Millisecond || !w.allInTouch(e.leaving, now) {
				e.ResetArrivals()
				continue
			}
			if n := e.Arrivals(); n > 0 {
				w.report.broken("%s: %d requests %v after it left", e.ID, n, now.Sub(e.leaving))
				e.ResetArrivals()
			}
		}
		w.mu.Unlock()
		periodic.Sleep(ctx, 100*time.Millisecond)
	}
}

// allInTouch reports whether all routers were in touch from a moment on.
func (w *world) allInTouch(from, to time.Time) bool {
	for _, r := range w.routers {
		if !r.inTouch(from) || !r.inTouch(to) {
			return false
		}
	}
	return true
}
