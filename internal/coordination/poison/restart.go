package poison

import (
	"maps"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// restartWindow is the time after the end of an unanswered attempt in which a restart of its server is evidence.
	restartWindow = 30 * time.Second
	// registrationTime is the time for which a server that has restarted may respond before its entry is seen. A later
	// sign of life shows that the server has survived an attempt.
	registrationTime = 2 * time.Second
	// beginWindow is the time after the last sign of life in which a request that ends a server may have begun.
	beginWindow = time.Second
	// maxEndSpan bounds the time in which a silent server may have ended: with requests on it, it would have written
	// earlier.
	maxEndSpan = time.Second
	// maxUnanswered bounds the unanswered attempts that are kept for one server, maxKnownServers the servers whose start
	// time is known.
	maxUnanswered   = maxCandidates
	maxKnownServers = 16384
)

// unanswered is an attempt that ended without a whole response.
type unanswered struct {
	candidate    Candidate
	began, ended time.Duration
	// lastSign is the time of the last sign of life of the server when the attempt ended, or 0.
	lastSign time.Duration
	// lost is set if the connection broke.
	lost bool
}

// restarts finds the servers that ended unseen: they fell silent, or their port went on to accept connections, and their
// entry then names a later start. A link that fails does not change the entry. The Guard's lock guards it.
type restarts struct {
	// servers holds the newest incarnation that is known of each server, by ID.
	servers map[string]*backends.Server
	// unanswered holds the attempts on these incarnations, by server ID.
	unanswered map[string][]unanswered
}

func newRestarts() restarts {
	return restarts{servers: make(map[string]*backends.Server), unanswered: make(map[string][]unanswered)}
}

// update replaces the known servers. It returns the earlier incarnations of those that have restarted without an
// announcement of their end. An older start time is that of a late write.
func (r *restarts) update(set *backends.Set) []*backends.Server {
	var ended []*backends.Server
	for id, server := range set.All() {
		known := r.servers[id]
		if server.StartedAt == 0 || known != nil && server.StartedAt < known.StartedAt {
			continue
		}
		r.servers[id] = server
		if known != nil && server.StartedAt > known.StartedAt && !known.Draining {
			ended = append(ended, known)
		}
	}
	if len(r.servers) > maxKnownServers {
		maps.DeleteFunc(r.servers, func(id string, _ *backends.Server) bool { return set.Get(id) == nil })
	}
	return ended
}

// add records the end of an unanswered attempt.
func (r *restarts) add(server *backends.Server, u unanswered) {
	known := r.servers[server.ID]
	if known == nil || !known.SameStart(server) {
		return
	}
	list := r.unanswered[server.ID]
	if len(list) >= maxUnanswered {
		list = slices.Delete(list, 0, 1)
	}
	r.unanswered[server.ID] = append(list, u)
}

// take removes and returns the unanswered attempts on a server that may have ended it.
func (r *restarts) take(now time.Duration, id string, lastSign time.Duration) []unanswered {
	r.expire(now, id, lastSign)
	list := r.unanswered[id]
	delete(r.unanswered, id)
	return list
}

// expire drops the attempts on a server that are too old, and those that the server has survived.
func (r *restarts) expire(now time.Duration, id string, lastSign time.Duration) {
	list := slices.DeleteFunc(r.unanswered[id], func(u unanswered) bool {
		return now-u.ended > restartWindow || lastSign > u.ended+registrationTime
	})
	if len(list) == 0 {
		delete(r.unanswered, id)
		return
	}
	r.unanswered[id] = list
}

// sign records a sign of life of the server. Signs are recorded without the Guard's lock.
func (s *serverAttempts) sign(now time.Duration) { s.signAt.Store(int64(now)) }

func (s *serverAttempts) lastSign() time.Duration {
	if s == nil {
		return 0
	}
	return time.Duration(s.signAt.Load())
}

// Responded records that the head of a response has arrived.
func (a *Attempt) Responded() {
	if a != nil {
		a.state.sign(a.guard.opts.Clock())
	}
}

// Unanswered ends an attempt that was sent and did not get a whole response, though its connection did not break. Its
// server may have fallen silent.
func (a *Attempt) Unanswered() {
	if a == nil {
		return
	}
	g := a.guard
	now := g.opts.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keepUnanswered(a, now, false)
	g.remove(a)
}

// keepUnanswered keeps an attempt that is about to be removed as a possible cause of a restart. The guard must be locked.
func (g *Guard) keepUnanswered(a *Attempt, now time.Duration, lost bool) {
	if a.proven.Load() || a.server.StartedAt == 0 {
		return
	}
	if _, ended := g.ended[incarnationOf(a.server)]; ended {
		return
	}
	g.restarts.add(a.server, unanswered{
		candidate: a.request.candidate(), began: a.began, ended: now, lastSign: a.state.lastSign(), lost: lost,
	})
}

// SetServers replaces the known servers. A server that has restarted has ended without this router's notice if its end
// was neither confirmed nor planned. planned reports the latter for the incarnation that has ended.
func (g *Guard) SetServers(set *backends.Set, planned func(*backends.Server) bool) {
	g.mu.Lock()
	ended := g.restarts.update(set)
	g.mu.Unlock()
	for _, server := range ended {
		if planned(server) {
			g.dropUnanswered(server.ID)
			continue
		}
		g.recordRestart(server)
	}
}

func (g *Guard) dropUnanswered(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.restarts.unanswered, id)
}

// recordRestart records the crash of a server that has restarted, if requests of this router may be its cause.
func (g *Guard) recordRestart(server *backends.Server) {
	now := g.opts.Clock()
	g.mu.Lock()
	s := g.servers[server.Key()]
	list := append(g.restarts.take(now, server.ID, s.lastSign()), s.running(now, server)...)
	if _, known := g.ended[incarnationOf(server)]; known || len(list) == 0 {
		g.mu.Unlock()
		return
	}
	report := restartReport(now, server, list)
	g.ended[incarnationOf(server)] = now
	changed := g.detector.RecordCrash(now, report)
	g.countSuspects()
	g.mu.Unlock()
	g.opts.OnCrash(server, len(report.Requests), changed)
}

// running returns the attempts without a proof that are on an incarnation of the server.
func (s *serverAttempts) running(now time.Duration, server *backends.Server) []unanswered {
	if s == nil {
		return nil
	}
	var list []unanswered
	for a := range s.active {
		if !a.proven.Load() && a.server.SameStart(server) {
			list = append(list, unanswered{
				candidate: a.request.candidate(), began: a.began, ended: now, lastSign: s.lastSign(),
			})
		}
	}
	return list
}

// restartReport returns the crash of a server that has restarted. It was alive when it last showed a sign of life, and
// when the first of the unanswered requests was sent. Requests that began later than beginWindow after that reached a
// server that had ended.
func restartReport(now time.Duration, server *backends.Server, list []unanswered) CrashReport {
	began, sign, end := list[0].began, list[0].lastSign, now
	for _, u := range list {
		began = min(began, u.began)
		sign = max(sign, u.lastSign)
		if u.lost {
			end = min(end, u.ended)
		}
	}
	at := max(began, min(sign, end)) // a later sign is one of the server after its restart
	r := CrashReport{
		Server: server.ID, StartedAt: server.StartedAt, Address: server.Address, Service: server.Service,
		At: at, Span: min(max(end-at, 0), maxEndSpan),
	}
	for _, u := range list {
		if u.began <= max(at, sign)+beginWindow && len(r.Requests) < maxCandidates {
			r.Requests = append(r.Requests, u.candidate)
		}
	}
	return r
}

// expireRestarts drops what no longer counts as evidence. The guard must be locked.
func (g *Guard) expireRestarts(now time.Duration) {
	for id := range g.restarts.unanswered {
		known := g.restarts.servers[id]
		var sign time.Duration
		if known != nil {
			sign = g.servers[known.Key()].lastSign()
		}
		g.restarts.expire(now, id, sign)
	}
	maps.DeleteFunc(g.ended, func(_ incarnation, at time.Duration) bool { return now-at > restartWindow })
}
