package scheduler

import (
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// maxEpochs bounds the dispatchers of a sibling shard whose report numbers are remembered.
const maxEpochs = 4

// exchange holds the accounts with the sibling shards.
type exchange struct {
	// seq counts the reports to each shard.
	seq map[uint16]uint64
	// seen lists, per shard, the numbers received; the latest epoch first.
	seen map[uint16][]seenWindow
	// dirty lists the teams whose unreported service may have passed the quantum.
	dirty []*team
	// turn is the shard that the last announcement or redirect went to.
	turn        uint16
	announcedAt time.Duration
	announced   bool
}

func newExchange() exchange {
	return exchange{seq: map[uint16]uint64{}, seen: map[uint16][]seenWindow{}}
}

// seenWindow remembers the report numbers of one dispatcher: the highest, and a bit for each of the 64 below it.
type seenWindow struct {
	epoch uint64
	high  uint64
	bits  uint64
}

// accept returns false for a number that was seen or is too old.
func (w *seenWindow) accept(seq uint64) bool {
	if seq > w.high {
		shift := seq - w.high
		w.bits = w.bits<<shift | 1<<(shift-1)
		w.high = seq
		return true
	}
	back := w.high - seq
	if back == 0 || back > 64 {
		return false
	}
	mask := uint64(1) << (back - 1)
	if w.bits&mask != 0 {
		return false
	}
	w.bits |= mask
	return true
}

// window returns the window of a dispatcher of a shard.
func (e *exchange) window(shard uint16, epoch uint64) *seenWindow {
	list := e.seen[shard]
	for i := range list {
		if list[i].epoch == epoch {
			return &list[i]
		}
	}
	list = append([]seenWindow{{epoch: epoch}}, list...)
	e.seen[shard] = list[:min(len(list), maxEpochs)]
	return &e.seen[shard][0]
}

// nextSibling returns the next shard in turn. There is at least one sibling.
func (e *exchange) nextSibling(s *Scheduler) uint16 {
	n := uint16(s.siblings)
	e.turn = (e.turn + 1) % n
	if e.turn == s.opts.Shard.Index {
		e.turn = (e.turn + 1) % n
	}
	return e.turn
}

// noteUnreported adds a charge that the siblings do not know yet.
func (s *Scheduler) noteUnreported(t *team, change ident.Cost) {
	if s.siblings == 1 {
		return
	}
	t.unreported += change
	if !t.dirty && s.passesQuantum(t.unreported) {
		t.dirty = true
		s.exchange.dirty = append(s.exchange.dirty, t)
	}
}

// quantum is the unreported service that makes this shard report a team, in cost units.
func (s *Scheduler) quantum() ident.Cost {
	return Quantum * ident.Cost(max(s.siblings-1, quantumSiblings)) / quantumSiblings
}

func (s *Scheduler) passesQuantum(c ident.Cost) bool {
	q := s.quantum()
	return c >= q || c <= -q
}

// report sends the service of teams that passed the quantum to each sibling.
func (s *Scheduler) report(out *Decisions) {
	for i, t := range s.exchange.dirty {
		s.exchange.dirty[i] = nil
		t.dirty = false
		if !s.passesQuantum(t.unreported) {
			continue
		}
		s.reportTeam(t, out)
	}
	s.exchange.dirty = s.exchange.dirty[:0]
}

func (s *Scheduler) reportTeam(t *team, out *Decisions) {
	for i := range s.siblings {
		to := uint16(i)
		if to == s.opts.Shard.Index {
			continue
		}
		s.exchange.seq[to]++
		out.Deltas = append(out.Deltas, message.ServiceDelta{
			Shard: s.opts.Shard, To: to, Team: t.id, Delta: t.unreported,
			Seq: s.opts.ReportsAfter + s.exchange.seq[to], Epoch: s.opts.Epoch,
		})
	}
	t.unreported = 0
}

// fromSibling says whether a message comes from another shard of the pool and is for this one.
func (s *Scheduler) fromSibling(from ident.ShardID, to uint16) bool {
	own := s.opts.Shard
	return from.Pool == own.Pool && from.Index != own.Index && to == own.Index
}

// Delta charges service that a team received at a sibling shard.
func (s *Scheduler) Delta(now time.Duration, m message.ServiceDelta) {
	s.at(now)
	if !s.fromSibling(m.Shard, m.To) || !s.exchange.window(m.Shard.Index, m.Epoch).accept(m.Seq) {
		return
	}
	t := s.teamOf(m.Team)
	rest := min(max(m.Delta, -maxCost), maxCost)
	if rest > 0 {
		paid := min(rest, t.prepaid)
		t.prepaid -= paid
		rest -= paid
	}
	t.charge(float64(rest)/t.weight, t.lifts)
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
	if len(s.fair) == 0 && (s.last == nil || t.counter > s.last.counter) {
		s.last = t
	}
}

// announce tells some siblings of free slots. Queued work of this shard, if any, excludes the backend servers that have
// them.
func (s *Scheduler) announce(out *Decisions) {
	e := &s.exchange
	if s.siblings == 1 {
		return
	}
	if e.announced && s.now < e.announcedAt+announceInterval {
		return
	}
	free := s.freeSlots()
	if free == 0 {
		return
	}
	e.announced = true
	e.announcedAt = s.now
	n := min(s.siblings-1, announceFanOut, free)
	for range n {
		out.Free = append(out.Free, message.FreeSlots{
			Shard: s.opts.Shard, To: e.nextSibling(s), Count: uint16(min(free/n, 1<<16-1)),
		})
	}
}

// freeSlots counts the slots that could be filled now, without probes.
func (s *Scheduler) freeSlots() int {
	free := 0
	for _, b := range s.backends {
		if b.health == healthUp {
			free += max(b.limit-b.running, 0)
		}
	}
	return free
}

// FreeSlots moves queued requests to an idle sibling shard, in fair order.
func (s *Scheduler) FreeSlots(now time.Duration, m message.FreeSlots, out *Decisions) {
	s.at(now)
	if !s.fromSibling(m.Shard, m.To) {
		return
	}
	s.pump(out)
	s.unparkAll() // the sibling has other backend servers
	for left := int(m.Count); left > 0 && len(s.fair) > 0; {
		t := s.fair[0].team
		r := t.movable()
		if r == nil {
			s.fair.remove(t)
			s.skipped = append(s.skipped, t)
			continue
		}
		s.redirect(r, m.Shard.Index, out)
		left--
	}
	s.returnSkipped(0, false)
}

// movable returns the team's earliest request that was not redirected before, or nil.
func (t *team) movable() *request {
	if r := t.head(); !r.redirected {
		return r
	}
	var best *request
	for _, q := range []requestHeap{t.free, t.bound} {
		for _, r := range q {
			if !r.redirected && (best == nil || r.earlier(best)) {
				best = r
			}
		}
	}
	return best
}

// redirect sends a request to another shard. Its estimate is charged at once, so that the next redirect follows the
// fair order; the sibling's reports are then charged less by that amount.
func (s *Scheduler) redirect(r *request, to uint16, out *Decisions) {
	t := r.team
	s.leave(r)
	out.Redirects = append(out.Redirects, message.Redirect{Shard: s.opts.Shard, Ref: r.ref(), To: to})
	s.record(r.session, r.seq, ending{attempt: r.attempt, kind: endRedirected, to: to})
	estimate := t.est.estimate(r.hint, s.totals.meanCost)
	t.prepaid += estimate
	t.charge(float64(estimate)/t.weight, t.lifts)
	if t.heapPos != notInHeap {
		s.reorder(t)
	}
	s.drop(r)
}
