package poison

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// minProofTime is how long a server must have written a response for it to count as a proof.
	minProofTime = 500 * time.Millisecond
	// confirmTimeout bounds the time to find out whether a server has ended. Retries of the requests on it wait for that.
	confirmTimeout = 150 * time.Millisecond
	// recentlyLost is how long before a crash is confirmed the requests on the server may have been lost.
	recentlyLost = time.Second
	// maxCandidates bounds the requests of a crash.
	maxCandidates = 64
	// trialWait is how long a request waits for the outcome of another request's trial, trialPoll how often it looks for it.
	trialWait = 200 * time.Millisecond
	trialPoll = 20 * time.Millisecond
)

// Answer is the answer to a request for a trial.
type Answer uint8

const (
	// Unanswered means that the router that grants the trials could not be asked.
	Unanswered Answer = iota
	// Denied means that there was no trial.
	Denied
	// Granted means that the request may be sent as a trial.
	Granted
)

// Trials grants trials of suspected fingerprints over the whole fleet.
type Trials interface {
	// Acquire asks for a trial of a fingerprint.
	Acquire(ctx context.Context, ask Ask) Answer
	// Release ends a trial that was granted. sent is set if the request was sent.
	Release(fingerprint Fingerprint, sent bool)
}

// ServerState is what new connections show of a server on which requests were lost.
type ServerState uint8

const (
	// ServerAlive means that the server accepts connections, or that it is not known whether it does.
	ServerAlive ServerState = iota
	// ServerEnded means that the server's port is closed.
	ServerEnded
	// ServerClosing means that each new connection is accepted and closed at once. A server that has ended behind a port
	// that another process holds does so, and a server that has too many connections.
	ServerClosing
)

// Options configures a Guard.
type Options struct {
	// Clock returns the time on a clock that includes suspension.
	Clock func() time.Duration
	// Probe returns the state of a server by attempts to connect to it. A server that announced its end counts as alive.
	Probe func(ctx context.Context, server *backends.Server) ServerState
	// Trials grants trials.
	Trials Trials
	// OnCrash is called after a crash that this router saw, with the fingerprints against which it is new evidence;
	// OnCleared is called with the fingerprints that a proof of this router has cleared.
	OnCrash   func(server *backends.Server, candidates int, fingerprints []Fingerprint)
	OnCleared func([]Fingerprint)
}

// Guard follows the attempts of a router and keeps the evidence. It is safe for concurrent use.
type Guard struct {
	opts Options
	// suspects is the number of fingerprints with evidence. While it is 0, checks take no lock.
	suspects atomic.Int64

	mu       sync.Mutex
	detector *Detector
	servers  map[string]*serverAttempts
	// ended holds the times of the confirmed crashes of recent incarnations.
	ended    map[incarnation]time.Duration
	restarts restarts
}

// incarnation identifies a server from one start to the next. startedAt is 0 if the server does not report it.
type incarnation struct {
	key       string
	startedAt int64
}

func incarnationOf(s *backends.Server) incarnation {
	return incarnation{key: s.Key(), startedAt: s.StartedAt}
}

// serverAttempts are the attempts on one server.
type serverAttempts struct {
	active map[*Attempt]struct{}
	// lost are the attempts that were lost and whose crash is not confirmed, with the times of their loss.
	lost map[*Attempt]time.Duration
	// confirming is closed when the confirmation in progress has ended. It is nil if there is none.
	confirming chan struct{}
	// signAt is the time of the server's last sign of life, or 0.
	signAt atomic.Int64
}

// Attempt is one request on one server. Its methods may be called on nil, which stands for a request that is not followed,
// by one goroutine.
type Attempt struct {
	guard   *Guard
	server  *backends.Server
	state   *serverAttempts
	request *Request
	began   time.Duration
	// firstEvent is the time of the first event, or 0. proven is set after the attempt's proof.
	firstEvent atomic.Int64
	proven     atomic.Bool
}

// NewGuard returns a guard without evidence.
func NewGuard(opts Options) *Guard {
	return &Guard{
		opts: opts, detector: NewDetector(), servers: make(map[string]*serverAttempts),
		ended: make(map[incarnation]time.Duration), restarts: newRestarts(),
	}
}

// Check returns the verdict on a request.
func (g *Guard) Check(r *Request) Verdict {
	if g.suspects.Load() == 0 {
		return Verdict{}
	}
	fingerprints := r.fingerprints()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Check(g.opts.Clock(), r.identity.Team, fingerprints)
}

// Begin follows a request that is about to be sent.
func (g *Guard) Begin(server *backends.Server, r *Request) *Attempt {
	a := &Attempt{guard: g, server: server, request: r, began: g.opts.Clock()}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[server.Key()]
	if s == nil {
		s = &serverAttempts{active: make(map[*Attempt]struct{}), lost: make(map[*Attempt]time.Duration)}
		g.servers[server.Key()] = s
	}
	a.state = s
	s.active[a] = struct{}{}
	return a
}

// Event records an event of the response. It reports whether the attempt is proven.
func (a *Attempt) Event() bool {
	if a == nil {
		return true
	}
	now := a.guard.opts.Clock()
	a.state.sign(now)
	if a.proven.Load() {
		return true
	}
	first := a.firstEvent.Load()
	switch {
	case first == 0:
		a.firstEvent.Store(int64(now))
		return false
	case now-time.Duration(first) < minProofTime:
		return false
	}
	a.prove(now)
	return true
}

// Complete records that the whole response has been received, and ends the attempt.
func (a *Attempt) Complete() {
	if a == nil {
		return
	}
	a.Responded()
	if !a.proven.Load() {
		a.prove(a.guard.opts.Clock())
	}
	a.End()
}

func (a *Attempt) prove(now time.Duration) {
	a.proven.Store(true)
	g := a.guard
	fingerprints := a.request.proofFingerprints(g.suspects.Load() > 0)
	g.mu.Lock()
	cleared := g.detector.RecordProof(now, a.server.Service, fingerprints)
	g.countSuspects()
	g.mu.Unlock()
	if len(cleared) > 0 {
		g.opts.OnCleared(cleared)
	}
}

// End ends the attempt without evidence.
func (a *Attempt) End() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.remove(a)
}

// remove removes an attempt, and its server if that has no others. The guard must be locked.
func (g *Guard) remove(a *Attempt) {
	s := g.servers[a.server.Key()]
	if s == nil {
		return
	}
	delete(s.active, a)
	delete(s.lost, a)
	g.restarts.expire(g.opts.Clock(), a.server.ID, s.lastSign())
	if len(s.active) == 0 && len(s.lost) == 0 && s.confirming == nil {
		delete(g.servers, a.server.Key())
	}
}

// Lost records that the connection broke, and ends the attempt. It returns once it is known whether the server has ended,
// or confirmTimeout has passed, and reports the former.
func (a *Attempt) Lost(ctx context.Context) bool {
	if a == nil {
		return false
	}
	g := a.guard
	now := g.opts.Clock()
	g.mu.Lock()
	s := g.servers[a.server.Key()]
	if s == nil || g.endedBefore(a, now) {
		// The crash was recorded with this attempt, or the server had ended before it.
		g.remove(a)
		g.mu.Unlock()
		return true
	}
	s.lost[a] = now
	if s.confirming != nil {
		confirming := s.confirming
		g.mu.Unlock()
		return g.await(ctx, a, confirming)
	}
	s.confirming = make(chan struct{})
	g.mu.Unlock()
	confirmCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	state := g.opts.Probe(confirmCtx, a.server)
	cancel()
	return g.finishConfirmation(a, s, state)
}

// endedBefore reports whether the attempt's server has ended since the attempt began, or before that in the same
// incarnation. The guard must be locked.
func (g *Guard) endedBefore(a *Attempt, now time.Duration) bool {
	id := incarnationOf(a.server)
	at, ok := g.ended[id]
	return ok && (at >= a.began || now-at < sameCrashWindow(id.startedAt))
}

// await waits for the confirmation that another attempt has started.
func (g *Guard) await(ctx context.Context, a *Attempt, confirming <-chan struct{}) bool {
	select {
	case <-confirming:
	case <-ctx.Done():
	}
	now := g.opts.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := g.endedBefore(a, now)
	if !ended {
		g.keepUnanswered(a, now, true)
	}
	g.remove(a)
	return ended
}

// finishConfirmation records the crash of a server, or that there was none. It reports the former.
func (g *Guard) finishConfirmation(a *Attempt, s *serverAttempts, state ServerState) bool {
	now := g.opts.Clock()
	g.mu.Lock()
	close(s.confirming)
	s.confirming = nil
	if state == ServerAlive || state == ServerClosing && s.hasSurvivor(s.lost[a]) {
		g.keepUnanswered(a, s.lost[a], true)
		g.remove(a)
		g.mu.Unlock()
		return false
	}
	report := s.crashReport(a.server, now)
	delete(g.restarts.unanswered, a.server.ID)
	g.ended[incarnationOf(a.server)] = now
	g.remove(a)
	changed := g.detector.RecordCrash(now, report)
	g.countSuspects()
	g.mu.Unlock()
	g.opts.OnCrash(a.server, len(report.Requests), changed)
	return true
}

// hasSurvivor reports whether an attempt that began before a time still has its connection. The server is alive then.
func (s *serverAttempts) hasSurvivor(lostAt time.Duration) bool {
	for a := range s.active {
		if _, lost := s.lost[a]; !lost && a.began < lostAt {
			return true
		}
	}
	return false
}

// crashReport returns the crash of a server with the requests that had just begun on it.
func (s *serverAttempts) crashReport(server *backends.Server, now time.Duration) CrashReport {
	r := CrashReport{
		Server: server.ID, StartedAt: server.StartedAt, Address: server.Address, Service: server.Service, At: now,
	}
	add := func(a *Attempt) {
		if !a.proven.Load() && len(r.Requests) < maxCandidates {
			r.Requests = append(r.Requests, a.request.candidate())
		}
	}
	for a, at := range s.lost {
		if now-at <= recentlyLost {
			r.At = min(r.At, at)
			add(a)
		}
	}
	for a := range s.active {
		// One that began later is still connecting to a server that has ended.
		if _, lost := s.lost[a]; !lost && a.began < r.At {
			add(a)
		}
	}
	return r
}

// countSuspects publishes the number of suspects for checks without the lock. The guard must be locked.
func (g *Guard) countSuspects() { g.suspects.Store(int64(g.detector.Len())) }

// Permit returns the verdict on a request, and a trial if the request is suspected and may be sent. While another trial of
// the fingerprint is in progress, it waits for the outcome for up to trialWait.
func (g *Guard) Permit(ctx context.Context, r *Request) (Verdict, *Trial) {
	verdict := g.Check(r)
	if verdict.State != Suspected {
		return verdict, nil
	}
	if trial := g.acquire(ctx, r, verdict); trial != nil {
		return verdict, trial
	}
	for end := g.opts.Clock() + trialWait; g.opts.Clock() < end; {
		if !periodic.Sleep(ctx, trialPoll) {
			return verdict, nil
		}
		if verdict = g.Check(r); verdict.State != Suspected {
			return verdict, nil
		}
	}
	return verdict, g.acquire(ctx, r, verdict)
}

// acquire asks for a trial. It returns nil if there is none.
func (g *Guard) acquire(ctx context.Context, r *Request, v Verdict) *Trial {
	asked := g.opts.Clock()
	ask := Ask{Team: r.identity.Team, Fingerprint: v.Fingerprint, Alone: v.Alone}
	answer := g.opts.Trials.Acquire(ctx, ask)
	// One crash says little, so the loss of the router that grants the trials does not keep the request from other servers.
	local := answer == Unanswered && v.Crashes == 1 && g.GrantTrial("", ask)
	if answer != Granted && !local {
		return nil
	}
	return &Trial{guard: g, fingerprint: v.Fingerprint, granted: asked, local: local}
}

// Trial is the right to send one request with a suspected fingerprint. Its methods may be called on nil.
type Trial struct {
	guard       *Guard
	fingerprint Fingerprint
	// granted is the time at which the trial was asked for.
	granted time.Duration
	// local is set if this router granted the trial to itself because another one did not answer.
	local bool
	sent  bool
	ended bool
}

// MaySend reports whether the request may be sent now. If so, it counts as sent.
func (t *Trial) MaySend() bool {
	t.sent = t.guard.opts.Clock()-t.granted <= TrialSendTime
	return t.sent
}

// End ends the trial.
func (t *Trial) End() {
	switch {
	case t == nil || t.ended:
		return
	case t.local:
		t.guard.EndTrial("", t.fingerprint, t.sent)
	default:
		t.guard.opts.Trials.Release(t.fingerprint, t.sent)
	}
	t.ended = true
}

// GrantTrial grants a trial as the owner of a fingerprint.
func (g *Guard) GrantTrial(router string, ask Ask) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.GrantTrial(g.opts.Clock(), router, ask)
}

// EndTrial ends a router's trial as the owner of a fingerprint. sent is set if the request was sent.
func (g *Guard) EndTrial(router string, fingerprint Fingerprint, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.EndTrial(g.opts.Clock(), router, fingerprint, sent)
}

// Evidence returns the evidence about fingerprints.
func (g *Guard) Evidence(fingerprints []Fingerprint) []FingerprintEvidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.EvidenceOf(g.opts.Clock(), fingerprints)
}

// Recent returns the evidence that is sent again and again. It also drops what is outdated.
func (g *Guard) Recent() []FingerprintEvidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Clock()
	g.detector.Expire(now)
	g.expireRestarts(now)
	g.countSuspects()
	return g.detector.EvidenceOf(now, g.detector.Recent(now))
}

// Merge adds another router's evidence. It returns the fingerprints that it cleared, and those for which the sender lacks
// a proof of this router.
func (g *Guard) Merge(list []FingerprintEvidence) (cleared, refuted []Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared, refuted = g.detector.Merge(g.opts.Clock(), list)
	g.countSuspects()
	return cleared, refuted
}

// Lift ends the suspicion of a fingerprint by an operator's order. It reports whether there was one.
func (g *Guard) Lift(fingerprint Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lifted := g.detector.Lift(g.opts.Clock(), fingerprint)
	g.countSuspects()
	return lifted
}

// List returns the fingerprints that are suspected or blocked.
func (g *Guard) List() []Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.List(g.opts.Clock())
}
