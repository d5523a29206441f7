package engine

import (
	"net/http"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// subscriberBuffer is the number of cache events queued for a slow subscriber. Further events are dropped, as real
// engines do.
const subscriberBuffer = 256

// subscriber is a connection to the event stream.
type subscriber struct{ cacheEvents chan delayedEvent }

// delayedEvent is a cache event that is delivered at deliverAt.
type delayedEvent struct {
	deliverAt time.Time
	event     protocol.CacheUpdate
}

// publishCacheChangeLocked queues a cache change for all subscribers.
func (e *Engine) publishCacheChangeLocked(added, removed []protocol.PrefixHash) {
	if len(added)+len(removed) == 0 {
		return
	}
	e.seq++
	if e.opts.CacheGapEvery > 0 && e.seq%uint64(e.opts.CacheGapEvery) == 0 {
		return
	}
	delayed := delayedEvent{
		deliverAt: time.Now().Add(e.opts.CacheDelay),
		event:     protocol.CacheUpdate{Seq: e.seq, Added: added, Removed: removed},
	}
	for s := range e.subscribers {
		select {
		case s.cacheEvents <- delayed:
		default:
		}
	}
}

// subscribe registers a subscriber and returns it with an event that holds the whole cache.
func (e *Engine) subscribe() (*subscriber, protocol.CacheUpdate) {
	s := &subscriber{cacheEvents: make(chan delayedEvent, subscriberBuffer)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers[s] = struct{}{}
	return s, protocol.CacheUpdate{Seq: e.seq, Added: e.cache.all(), Cleared: true}
}

func (e *Engine) unsubscribe(s *subscriber) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.subscribers, s)
}

// serveEvents serves GET /v1/events.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	sub, full := e.subscribe()
	defer e.unsubscribe(sub)
	w.Header().Set("Content-Type", protocol.ContentTypeNDJSON)
	flush := flusher(w)
	if protocol.WriteReport(w, protocol.Report{Cache: &full}) != nil {
		return
	}
	flush()
	ticker := time.NewTicker(e.opts.LoadInterval)
	defer ticker.Stop()
	loads := &delayedLoad{lag: e.opts.LoadLag}
	for {
		var report protocol.Report
		select {
		case <-r.Context().Done():
			return
		case delayed := <-sub.cacheEvents:
			if (&pacer{next: delayed.deliverAt}).wait(r.Context(), 0) != nil {
				return
			}
			report.Cache = &delayed.event
		case now := <-ticker.C:
			load := loads.sample(now, e.currentLoad())
			report.Load = &load
		}
		if e.waitThaw(r.Context()) != nil || protocol.WriteReport(w, report) != nil {
			return
		}
		flush()
	}
}

// delayedLoad reports load samples with a delay.
type delayedLoad struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load protocol.Load
}

// sample stores the current load and returns the latest sample that is at least as old as the lag, or the oldest
// sample if there is none.
func (l *delayedLoad) sample(now time.Time, load protocol.Load) protocol.Load {
	l.samples = append(l.samples, loadSample{at: now, load: load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	return l.samples[0].load
}
