package warmup

import "time"

// Report is what a router knows of a server's warm-up, in messages between routers.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// StartedAt is the server's start time in milliseconds since the Unix epoch.
	StartedAt int64
	Source    Source
	// LeftMS is the time until the end of the warm-up, in milliseconds.
	LeftMS int64
}

// maxLeftMS bounds the times in messages, in milliseconds. No server warms up for as long.
const maxLeftMS = int64(time.Hour / time.Millisecond)

// Report returns what is known of a server's warm-up. It returns false if the server is warm.
func (r *Registry) Report(now time.Time, id string) (Report, bool) {
	s := r.states[id]
	config := Config{}
	if s != nil {
		config = r.services[s.server.Service]
	}
	if s == nil || !s.cold(now) || config.PerSecond <= 0 {
		return Report{}, false
	}
	left := s.until.Sub(now)
	if s.down {
		left = max(left, config.Duration)
	}
	return Report{
		Server: id, StartedAt: s.server.StartedAt, Source: s.source, LeftMS: min(left.Milliseconds()+1, maxLeftMS),
	}, true
}

// Merge records what another router knows of a server's warm-up. It only ever extends one. A report about a later
// incarnation than the known one counts, too: this router may not reach the store.
func (r *Registry) Merge(now time.Time, m Report) {
	server := r.servers.Get(m.Server)
	if server == nil || m.StartedAt < server.StartedAt || m.LeftMS <= 0 || m.LeftMS > maxLeftMS {
		return
	}
	left := time.Duration(m.LeftMS) * time.Millisecond
	s := r.states[m.Server]
	if s != nil && (s.down || now.Add(left).Sub(s.until) <= minExtension) {
		return
	}
	started := s == nil || !s.cold(now)
	if s == nil {
		s = &state{server: server}
		r.states[m.Server] = s
	}
	s.source, s.at, s.until, s.ended = m.Source, now, now.Add(left), false
	if started {
		r.changes = append(r.changes, Change{Server: server, Source: m.Source, Left: left, Started: true})
	}
}
