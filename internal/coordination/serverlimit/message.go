package serverlimit

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// maxMessageDelay is the time by which an end in a message is dated back. A message between routers takes some
// milliseconds, at a router that lacks CPU time tens of them.
const maxMessageDelay = 100 * time.Millisecond

// overlapTime is how long a limit counts that another router states to have ended, if the response that last named it may
// have been the later one. By then a response that names the limit would have reached the owner, which would not state the
// end any more.
const overlapTime = time.Second

// Entry is what a router knows of a server's limit, in messages between routers.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// StartedAt is the server's start time in milliseconds since the Unix epoch.
	StartedAt int64
	// Rate is the limit last named, in requests per second. Ended is set if the server no longer names it.
	Rate  float64
	Ended bool
	// SinceAgeMS is the time since the limit started, or ended, in milliseconds.
	SinceAgeMS int64
	// SentAgeMS and ReceivedAgeMS are the times since the request of the latest response was sent, and since its response
	// arrived, in milliseconds.
	SentAgeMS, ReceivedAgeMS int64
}

// NoLimit returns the entry of a server that has named no limit. It changes nothing where it is merged.
func NoLimit(server *backends.Server) Entry {
	return Entry{
		Server: server.ID, StartedAt: server.StartedAt, Ended: true,
		SinceAgeMS: maxAgeMS, SentAgeMS: maxAgeMS, ReceivedAgeMS: maxAgeMS,
	}
}

// NamesNone reports whether the entry is that of a server that has named no limit.
func (e Entry) NamesNone() bool { return e.Ended && e.ReceivedAgeMS == maxAgeMS }

// Entries returns what is known of the given servers' limits, ended ones included.
func (r *Registry) Entries(now time.Time, servers []string) []Entry {
	var entries []Entry
	for _, id := range servers {
		if e, ok := r.Entry(now, id); ok {
			entries = append(entries, e)
		}
	}
	return entries
}

// Entry returns what is known of a server's limit. It returns false if the server has named none.
func (r *Registry) Entry(now time.Time, id string) (Entry, bool) {
	l := r.limits[id]
	if l == nil {
		return Entry{}, false
	}
	return Entry{
		Server: id, StartedAt: l.server.StartedAt, Rate: l.rate, Ended: !l.latest.Limited,
		SinceAgeMS: now.Sub(l.since).Milliseconds(),
		SentAgeMS:  now.Sub(l.latest.SentAt).Milliseconds(), ReceivedAgeMS: now.Sub(l.latest.ReceivedAt).Milliseconds(),
	}, true
}

// Merge records what another router knows of a server's limit. Entries of unknown incarnations, and those with values
// that no router sends, are ignored.
func (r *Registry) Merge(now time.Time, e Entry) Change {
	server := r.servers.Get(e.Server)
	if server == nil || server.StartedAt != e.StartedAt || !e.valid() {
		return Unchanged
	}
	s := Statement{Limited: !e.Ended, Rate: e.Rate, SentAt: ago(now, e.SentAgeMS), ReceivedAt: ago(now, e.ReceivedAgeMS)}
	if e.Ended {
		s.SentAt = s.SentAt.Add(-maxMessageDelay)
		if l := r.limits[e.Server]; l != nil && now.Sub(l.latest.ReceivedAt) > overlapTime {
			s.SentAt = later(s.SentAt, l.latest.ReceivedAt)
		}
	}
	change := r.Receive(server, s)
	if change == Started || change == Ended {
		r.limits[e.Server].since = ago(now, e.SinceAgeMS)
	}
	return change
}

// maxAgeMS bounds the ages in messages, in milliseconds. The difference with any time of day fits.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

func (e Entry) valid() bool {
	return e.Rate >= 0 && !math.IsInf(e.Rate, 0) && e.SinceAgeMS >= 0 && e.ReceivedAgeMS >= 0 &&
		e.SentAgeMS >= e.ReceivedAgeMS && max(e.SentAgeMS, e.SinceAgeMS) <= maxAgeMS
}

func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
