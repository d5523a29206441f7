package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maxEpochs is the number of dispatchers of a sibling shard for which a replay window is kept.
const maxEpochs = 4

// serviceExchange holds the state of the exchange of service deltas and free-slot announcements with sibling shards.
type serviceExchange struct {
	// seq is the number of service deltas sent to each shard.
	seq map[uint16]uint64
	// windows holds the replay windows of each sibling shard, the most recently added first.
	windows map[uint16][]replayWindow
	// dirty lists the teams whose pending delta may have reached the quantum.
	dirty []*team
	// lastSibling is the shard to which the last announcement or redirect was sent.
	lastSibling uint16
	announcedAt time.Duration
	announced   bool
}

func newServiceExchange() serviceExchange {
	return serviceExchange{seq: map[uint16]uint64{}, windows: map[uint16][]replayWindow{}}
}

// replayWindow records the sequence numbers received from one dispatcher: the highest one, and one bit for each of the
// 64 below it.
type replayWindow struct {
	epoch   uint64
	highest uint64
	bitmap  uint64
}

// accept records a sequence number. It returns false if the number was seen before or is below the window.
func (w *replayWindow) accept(seq uint64) bool {
	if seq > w.highest {
		shift := seq - w.highest
		w.bitmap = w.bitmap<<shift | 1<<(shift-1)
		w.highest = seq
		return true
	}
	age := w.highest - seq
	if age == 0 || age > 64 {
		return false
	}
	mask := uint64(1) << (age - 1)
	if w.bitmap&mask != 0 {
		return false
	}
	w.bitmap |= mask
	return true
}

// window returns the replay window for an epoch of a shard, and creates it if needed.
func (e *serviceExchange) window(shard uint16, epoch uint64) *replayWindow {
	list := e.windows[shard]
	for i := range list {
		if list[i].epoch == epoch {
			return &list[i]
		}
	}
	list = append([]replayWindow{{epoch: epoch}}, list...)
	e.windows[shard] = list[:min(len(list), maxEpochs)]
	return &e.windows[shard][0]
}

// nextSibling returns the next sibling in round-robin order. There must be at least one.
func (e *serviceExchange) nextSibling(s *Scheduler) uint16 {
	n := uint16(s.siblings)
	e.lastSibling = (e.lastSibling + 1) % n
	if e.lastSibling == s.opts.Shard.Index {
		e.lastSibling = (e.lastSibling + 1) % n
	}
	return e.lastSibling
}

// addPendingDelta adds a change of charge to the team's service that no service delta has told the siblings of yet.
func (s *Scheduler) addPendingDelta(t *team, change ident.Cost) {
	if s.siblings == 1 {
		return
	}
	t.pendingDelta += change
	if !t.dirty && s.reachesQuantum(t.pendingDelta) {
		t.dirty = true
		s.exchange.dirty = append(s.exchange.dirty, t)
	}
}

// quantum returns the size of a team's pending delta at which this shard sends it to the siblings, in cost units.
func (s *Scheduler) quantum() ident.Cost {
	return Quantum * ident.Cost(max(s.siblings-1, quantumSiblings)) / quantumSiblings
}

func (s *Scheduler) reachesQuantum(c ident.Cost) bool {
	q := s.quantum()
	return c >= q || c <= -q
}

// emitServiceDeltas adds a service delta to each sibling for each team whose pending delta has reached the quantum.
func (s *Scheduler) emitServiceDeltas(out *Decisions) {
	for i, t := range s.exchange.dirty {
		s.exchange.dirty[i] = nil
		t.dirty = false
		if !s.reachesQuantum(t.pendingDelta) {
			continue
		}
		s.emitTeamDeltas(t, out)
	}
	s.exchange.dirty = s.exchange.dirty[:0]
}

func (s *Scheduler) emitTeamDeltas(t *team, out *Decisions) {
	for i := range s.siblings {
		to := uint16(i)
		if to == s.opts.Shard.Index {
			continue
		}
		s.exchange.seq[to]++
		out.Deltas = append(out.Deltas, message.ServiceDelta{
			Shard: s.opts.Shard, To: to, Team: t.id, Delta: t.pendingDelta,
			Seq: s.opts.DeltaSeqBase + s.exchange.seq[to], Epoch: s.opts.Epoch,
		})
	}
	t.pendingDelta = 0
}

// fromSibling reports whether a message comes from another shard of the pool and is addressed to this one.
func (s *Scheduler) fromSibling(from ident.ShardID, to uint16) bool {
	own := s.opts.Shard
	return from.Pool == own.Pool && from.Index != own.Index && to == own.Index
}

// ServiceDelta charges a team for service that it received at a sibling shard, less what was charged when its requests
// were redirected.
func (s *Scheduler) ServiceDelta(now time.Duration, m message.ServiceDelta) {
	s.advanceClock(now)
	if !s.fromSibling(m.Shard, m.To) || !s.exchange.window(m.Shard.Index, m.Epoch).accept(m.Seq) {
		return
	}
	t := s.getOrCreateTeam(m.Team)
	remaining := min(max(m.Delta, -maxCost), maxCost)
	if remaining > 0 {
		deducted := min(remaining, t.redirectCharge)
		t.redirectCharge -= deducted
		remaining -= deducted
	}
	t.charge(float64(remaining)/t.weight, t.lifts)
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
	if len(s.ready) == 0 && (s.lastServed == nil || t.counter > s.lastServed.counter) {
		s.lastServed = t
	}
}

// announce announces free slots to some siblings. Work still queued in this shard, if any, excludes the backend servers
// with free slots.
func (s *Scheduler) announce(out *Decisions) {
	e := &s.exchange
	if s.siblings == 1 {
		return
	}
	interval := s.announceInterval()
	if e.announced && s.now < e.announcedAt+interval {
		return
	}
	free := s.freeSlots()
	if free == 0 {
		return
	}
	e.announced = true
	e.announcedAt = s.now
	requested := free + max(s.expectedCompletions(interval)-s.totals.queued, 0)
	recipients := min(s.siblings-1, announceFanOut, free)
	for range recipients {
		out.FreeSlots = append(out.FreeSlots, message.FreeSlots{
			Shard: s.opts.Shard, To: e.nextSibling(s), Count: uint16(min(requested/recipients, 1<<16-1)),
		})
	}
}

// announceInterval returns the time between two announcements.
func (s *Scheduler) announceInterval() time.Duration {
	if s.totals.meanRunMS == 0 {
		return maxAnnounceInterval
	}
	runs := time.Duration(s.totals.meanRunMS * announceRunFraction * float64(time.Millisecond))
	return min(max(runs, minAnnounceInterval), maxAnnounceInterval)
}

// expectedCompletions estimates how many running requests end within the interval. An idle shard asks for as many
// requests in advance, so that slots freed before the next announcement do not stay idle.
func (s *Scheduler) expectedCompletions(interval time.Duration) int {
	if s.totals.meanRunMS == 0 {
		return 0
	}
	completions := float64(s.totals.running) * float64(interval.Milliseconds()) / s.totals.meanRunMS
	return int(min(completions, float64(s.totals.running)))
}

// freeSlots returns the number of free slots, without those of ejected backend servers.
func (s *Scheduler) freeSlots() int {
	free := 0
	for _, b := range s.backends {
		if b.health == healthUp {
			free += max(b.limit-b.running, 0)
		}
	}
	return free
}

// FreeSlots redirects queued requests to a sibling shard that announced free slots, in fair order.
func (s *Scheduler) FreeSlots(now time.Duration, m message.FreeSlots, out *Decisions) {
	s.advanceClock(now)
	if !s.fromSibling(m.Shard, m.To) {
		return
	}
	s.grantQueued(out)
	s.unparkAll() // the sibling has other backend servers
	for remaining := int(m.Count); remaining > 0 && len(s.ready) > 0; {
		t := s.ready[0].team
		r := t.redirectable()
		if r == nil {
			s.ready.remove(t)
			s.skipped = append(s.skipped, t)
			continue
		}
		s.redirect(r, m.Shard.Index, out)
		remaining--
	}
	s.requeueSkipped(0, false)
}

// redirectable returns the team's earliest request that was not redirected before, or nil.
func (t *team) redirectable() *request {
	if r := t.head(); !r.redirected {
		return r
	}
	var best *request
	for _, q := range []requestHeap{t.unrestricted, t.restricted} {
		for _, r := range q {
			if !r.redirected && (best == nil || r.arrivedBefore(best)) {
				best = r
			}
		}
	}
	return best
}

// redirect drops a request and tells its ingress to enqueue it at another shard. The estimate is charged immediately,
// so that the next redirect follows the fair order, and is deducted from later service deltas of the siblings.
func (s *Scheduler) redirect(r *request, to uint16, out *Decisions) {
	t := r.team
	s.dequeueOrRelease(r)
	out.Redirects = append(out.Redirects, message.Redirect{Shard: s.opts.Shard, Ref: r.ref(), To: to})
	s.recordOutcome(r.session, r.seq, outcome{attempt: r.attempt, kind: outcomeRedirected, to: to})
	estimate := t.estimator.estimate(r.hint, s.totals.meanCost)
	t.redirectCharge += estimate
	t.charge(float64(estimate)/t.weight, t.lifts)
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
	s.removeRequest(r)
}
