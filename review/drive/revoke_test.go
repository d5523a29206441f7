//go:build review

package drive

import "time"

func init() { cases["revoke"] = runRevoke }

// runRevoke takes a key away, and lets the store come back from a copy that still has it while all routers are killed and
// start again. It checks that no request with the key runs that was sent revokeTime after the acknowledgement.
func runRevoke(f *fleet) bool {
	f.startRouters()
	for _, r := range f.routers {
		f.startClients(f.ctx, r, 2, 40*time.Millisecond, routePrefix, "key-1")
		f.startClients(f.ctx, r, 1, 40*time.Millisecond, routePrefix, "key-2")
	}
	time.Sleep(time.Second)
	older := f.store.Copy()
	f.note("platform: takes a copy of the store")
	time.Sleep(300 * time.Millisecond)
	revoked := f.writeConfig("key-2")
	sleepUntil(revoked.Add(4600 * time.Millisecond))
	if f.trouble {
		f.drill(older)
	}
	sleepUntil(revoked.Add(12 * time.Second))
	f.stop()
	time.Sleep(200 * time.Millisecond)
	answers := f.answersOf()
	late, served := 0, 0
	for _, e := range f.engines {
		for _, x := range e.arrivalsOf() {
			a, known := answers[x.attempt]
			switch {
			case !known || !x.ran:
			case a.key == "key-2" && a.status == 200 && a.sent.After(revoked.Add(revokeTime+contactTime)):
				served++
			case a.key == "key-1" && a.sent.After(revoked.Add(revokeTime)):
				late++
				f.log("BROKEN: %s with the withdrawn key, sent %.3f s after the acknowledgement to %s, ran at %s, status %d",
					a.attempt, a.sent.Sub(revoked).Seconds(), a.router, x.engine, a.status)
			}
		}
	}
	f.note("%d requests with the withdrawn key ran that were sent more than %v after its removal was acknowledged; "+
		"%d requests with the valid key were served at the end", late, revokeTime, served)
	if served == 0 {
		panic(cannotRun{errNothingServed})
	}
	return late == 0
}

const (
	// outage is how long the store is away, and rewrite how long the operator and the engines then take to write again.
	outage  = 1100 * time.Millisecond
	rewrite = 1500 * time.Millisecond
)

// drill takes the store away for a moment and brings it back from an older copy. Meanwhile all routers are killed, and start
// again.
func (f *fleet) drill(older copyOfStore) {
	f.note("platform: the store is away")
	f.store.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	f.kill(f.routers...)
	time.Sleep(500 * time.Millisecond)
	for _, r := range f.routers {
		r.transport.CloseIdleConnections()
		f.start(r)
	}
	time.Sleep(outage - 600*time.Millisecond)
	f.store.Restore(older)
	f.store.SetDown(false)
	f.note("platform: the store is back from the copy")
	time.Sleep(rewrite)
	f.rewriteConfig("key-2")
}
