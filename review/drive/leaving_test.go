//go:build review

package drive

import (
	"fmt"
	"time"
)

func init() { cases["leaving"] = runLeaving }

const (
	// oddAfter is how long after its first announcement another writer overwrites the engine's entry, and endAfter how long
	// after it the engine ends.
	oddAfter = 4200 * time.Millisecond
	endAfter = 5 * time.Second
)

// runLeaving lets an engine announce in its answers that it leaves. Later another writer overwrites its entry with one that
// lacks a field, until the engine's next heartbeat. The engine serves on for some seconds and ends. The case checks that no
// request reaches the engine that was sent later than drainTime after the same router had passed on such an answer.
func runLeaving(f *fleet) bool {
	f.startRouters()
	for _, e := range f.engines {
		e.work.Store(int64(300 * time.Millisecond))
	}
	for _, r := range f.routers {
		f.startClients(f.ctx, r, 6, 10*time.Millisecond, routePrefix, "key-1")
	}
	time.Sleep(2 * time.Second)
	leaver := f.engines[0]
	leaver.set(func() { leaver.leaving = true })
	announced := time.Now()
	f.note("engine %s says in all its answers that it leaves", leaver.id)
	sleepUntil(announced.Add(oddAfter))
	if f.trouble {
		f.store.Put("servers/"+leaver.id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":%d,"state":"ready","coldLeftMs":0,"sequence":%d}`,
			service, leaver.address, leaver.zone, slots, leaver.sequence))
		f.note("another writer overwrites the entry of %s, without the field born", leaver.id)
	}
	sleepUntil(announced.Add(endAfter))
	leaver.set(func() { leaver.silent = true })
	_ = leaver.server.Close()
	f.store.Remove("servers/" + leaver.id)
	f.note("engine %s has left", leaver.id)
	time.Sleep(2 * time.Second)
	f.stop()
	time.Sleep(200 * time.Millisecond)
	return f.drainHeld(leaver)
}

// drainHeld checks the rule on engines that announce in their answers that they leave.
func (f *fleet) drainHeld(e *engine) bool {
	answers := f.answersOf()
	passedOn := make(map[string]time.Time)
	for _, a := range answers {
		if at, ok := passedOn[a.router]; a.leaving && a.engine == e.id && (!ok || a.done.Before(at)) {
			passedOn[a.router] = a.done
		}
	}
	late, lost := 0, 0
	for _, x := range e.arrivalsOf() {
		a, known := answers[x.attempt]
		at, ok := passedOn[a.router]
		if !known || !ok || !a.sent.After(at.Add(drainTime)) {
			continue
		}
		late++
		if a.status != 200 {
			lost++
		}
		f.log("BROKEN: %s, sent to %s %.3f s after it had passed on that %s leaves, reached that engine; status %d",
			a.attempt, a.router, a.sent.Sub(at).Seconds(), e.id, a.status)
	}
	f.note("%d requests that were sent later than %v after their router had passed on that %s leaves reached it; %d of these, "+
		"which may run only once, ended without the engine's answer", late, drainTime, e.id, lost)
	if len(passedOn) != len(f.routers) {
		panic(cannotRun{errNothingServed})
	}
	return late == 0
}
