package engine

import (
	"net/http"
	"time"

	protocol "gooseberrytide.example/gooseberrytide/internal/protocol/engine"
)

// readerBacklog bounds the cache events that wait for a slow reader. More are lost, as real engines do.
const readerBacklog = 256

// reader is a connection to the event stream.
type reader struct{ cache chan lateEvent }

// lateEvent is a cache event that is delivered at its time.
type lateEvent struct {
	at    time.Time
	event protocol.CacheUpdate
}

// publishLocked hands a cache change to all readers.
func (e *Engine) publishLocked(added, removed []protocol.PrefixHash) {
	if len(added)+len(removed) == 0 {
		return
	}
	e.seq++
	if e.opts.CacheGapEvery > 0 && e.seq%uint64(e.opts.CacheGapEvery) == 0 {
		return
	}
	late := lateEvent{at: time.Now().Add(e.opts.CacheDelay), event: protocol.CacheUpdate{Seq: e.seq, Added: added, Removed: removed}}
	for r := range e.readers {
		select {
		case r.cache <- late:
		default:
		}
	}
}

// subscribe returns a reader and the event that holds the whole cache.
func (e *Engine) subscribe() (*reader, protocol.CacheUpdate) {
	r := &reader{cache: make(chan lateEvent, readerBacklog)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readers[r] = struct{}{}
	return r, protocol.CacheUpdate{Seq: e.seq, Added: e.cache.all(), Cleared: true}
}

func (e *Engine) unsubscribe(r *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.readers, r)
}

// events serves GET /v1/events.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	rd, whole := e.subscribe()
	defer e.unsubscribe(rd)
	w.Header().Set("Content-Type", protocol.ContentTypeNDJSON)
	flush := flusher(w)
	if protocol.WriteReport(w, protocol.Report{Cache: &whole}) != nil {
		return
	}
	flush()
	ticker := time.NewTicker(e.opts.LoadInterval)
	defer ticker.Stop()
	lag := &lagging{lag: e.opts.LoadLag}
	for {
		var report protocol.Report
		select {
		case <-r.Context().Done():
			return
		case late := <-rd.cache:
			if (&pace{next: late.at}).wait(r.Context(), 0) != nil {
				return
			}
			report.Cache = &late.event
		case now := <-ticker.C:
			load := lag.at(now, e.loadNow())
			report.Load = &load
		}
		if e.waitThaw(r.Context()) != nil || protocol.WriteReport(w, report) != nil {
			return
		}
		flush()
	}
}

// lagging delays load samples.
type lagging struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load protocol.Load
}

// at stores the current load and returns the youngest sample that has the lag's age, or the oldest there is.
func (l *lagging) at(now time.Time, load protocol.Load) protocol.Load {
	l.samples = append(l.samples, loadSample{at: now, load: load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	return l.samples[0].load
}
