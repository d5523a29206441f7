//go:build review

package drive

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["owners"] = runOwners }

const (
	// namedLimit is the limit that the engine in need names, in requests a second.
	namedLimit = 20
	// limitWindow is the span of the rule.
	limitWindow = 4 * time.Second
	// lateBy is how long after a lost answer the store executes the write.
	lateBy = 5 * time.Second
	// leaseTime is the time after which the lease of the late write has ended.
	leaseTime = 20 * time.Second
)

// runOwners lets the store lose the answer of one write while the routers start, and execute the write some seconds later.
// An engine then names a limit of requests a second. It checks that the engine gets no more than the rule allows.
func runOwners(f *fleet) bool {
	if f.trouble {
		f.loseRegistration()
	}
	f.startRouters()
	started := time.Now()
	sleepUntil(started.Add(leaseTime + 1500*time.Millisecond))
	f.note("routers with an entry in the store: %v", f.store.Keys("gooseberrytide/routers/"))
	needy := f.engines[0]
	named := time.Now()
	needy.set(func() { needy.limit = fmt.Sprint(namedLimit) })
	f.note("engine %s names a limit of %d requests a second", needy.id, namedLimit)
	for _, r := range f.routers {
		f.startClients(f.ctx, r, 12, 10*time.Millisecond, lookupRoute, "key-1")
	}
	sleepUntil(named.Add(16 * time.Second))
	f.stop()
	time.Sleep(200 * time.Millisecond)
	return f.limitHeld(needy, named, namedLimit)
}

// loseRegistration makes the store lose the answer to the first write of a transaction, which is that of a router's entry,
// and execute it later.
func (f *fleet) loseRegistration() {
	var lost atomic.Bool
	intercept := func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/kv-txn") {
			return false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !strings.Contains(string(body), f.routers[2].name) || lost.Swap(true) {
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			return false
		}
		f.note("platform: the answer to a write of the entry of %s is lost", f.routers[2].name)
		time.AfterFunc(lateBy, func() {
			late := httptest.NewRequest(r.Method, r.URL.String(), strings.NewReader(string(body)))
			w := httptest.NewRecorder()
			f.store.ServeHTTP(w, late)
			f.note("platform: the write whose answer was lost is executed, status %d", w.Code)
		})
		panic(http.ErrAbortHandler)
	}
	f.intercept.Store(&intercept)
}

// limitHeld checks the rule on limits for an engine that named its limit at a time: from contactTime later it gets in no
// limitWindow more than one and a half times what the limit allows and five requests, summed over the routers that had passed
// on an answer with the limit half a second before or earlier.
func (f *fleet) limitHeld(e *engine, named time.Time, limit float64) bool {
	answers := f.answersOf()
	told := make(map[string]time.Time)
	for _, a := range answers {
		if at, ok := told[a.router]; a.limited && a.engine == e.id && a.done.After(named) && (!ok || a.done.Before(at)) {
			told[a.router] = a.done
		}
	}
	var counted []arrival
	for _, x := range e.arrivalsOf() {
		a, known := answers[x.attempt]
		at, ok := told[a.router]
		if known && ok && x.at.After(named.Add(contactTime)) && !x.at.Before(at.Add(500*time.Millisecond)) {
			counted = append(counted, x)
		}
	}
	allowed := 1.5*limit*limitWindow.Seconds() + 5
	most, from := 0, time.Time{}
	for i, first := range counted {
		n := 0
		for _, x := range counted[i:] {
			if x.at.Sub(first.at) < limitWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.at
		}
	}
	byRouter := make(map[string]int)
	for _, x := range counted {
		if !x.at.Before(from) && x.at.Sub(from) < limitWindow {
			byRouter[answers[x.attempt].router]++
		}
	}
	f.note("engine %s, limit %v a second: %d requests in the %v from %.3f s, allowed %.0f; by router %v",
		e.id, limit, most, limitWindow, f.at(from), allowed, byRouter)
	if most == 0 {
		panic(cannotRun{errNothingServed})
	}
	return float64(most) <= allowed
}
