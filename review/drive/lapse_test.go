//go:build review

package drive

import (
	"fmt"
	"time"
)

func init() { cases["lapse"] = runLapse }

const (
	// lowLimit is the limit that the engine in need names, in requests a second.
	lowLimit = 2
	// cutTime is how long the engine does not reach the store, lapseTime the silence after which its entry is removed.
	cutTime   = 5 * time.Second
	lapseTime = 3 * heartbeat
)

// runLapse lets an engine name a limit of requests a second. Later the engine does not reach the store for some seconds, so
// that its entry lapses and comes back; it serves all the while. It checks that the engine gets no more than the rule allows.
func runLapse(f *fleet) bool {
	f.startRouters()
	for _, e := range f.engines {
		e.work.Store(int64(200 * time.Millisecond))
	}
	for _, r := range f.routers {
		f.startClients(f.ctx, r, 16, 10*time.Millisecond, lookupRoute, "key-1")
	}
	time.Sleep(time.Second)
	needy := f.engines[0]
	needy.set(func() { needy.limit = fmt.Sprint(lowLimit) })
	named := time.Now()
	f.note("engine %s names a limit of %d requests a second", needy.id, lowLimit)
	sleepUntil(named.Add(8 * time.Second))
	if f.trouble {
		needy.set(func() { needy.silent = true })
		f.note("engine %s does not reach the store", needy.id)
		time.Sleep(lapseTime)
		f.store.Remove("servers/" + needy.id)
		f.note("platform: the entry of %s is removed after three heartbeats of silence", needy.id)
		time.Sleep(cutTime - lapseTime)
		needy.set(func() { needy.silent = false })
		needy.writeEntry()
		f.note("engine %s reaches the store again and writes its entry", needy.id)
	}
	sleepUntil(named.Add(20 * time.Second))
	f.stop()
	time.Sleep(200 * time.Millisecond)
	return f.limitHeld(needy, named, lowLimit)
}
