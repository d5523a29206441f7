package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Limits and times of the detector.
const (
	// Period is the time between rounds of pings.
	Period = 500 * time.Millisecond
	// Fanout is the number of live members pinged in a round.
	Fanout = 3
	// MaxUpdates bounds the updates in one packet.
	MaxUpdates = 8
	// MaxIncarnation bounds what is accepted from others, so that taking a higher one cannot overflow.
	MaxIncarnation = ident.Incarnation(1) << 62

	// ackTimeout leaves room for the round trip between regions.
	ackTimeout = 200 * time.Millisecond
	// indirectTimeout is counted from the sending of the direct ping.
	indirectTimeout = 400 * time.Millisecond
	// suspectTimeout is counted from the sending of the first unanswered ping, to detect a death within 3 s.
	suspectTimeout = 2 * time.Second
	// pauseGap is the time between ticks above which the process was paused.
	pauseGap = 2 * time.Second
	// slowGap is the time between ticks above which late answers may be this process's own fault.
	slowGap = 300 * time.Millisecond
	// retention is how long a dead member that is not listed is remembered; partitions last minutes.
	retention = 10 * time.Minute

	indirectPings = 2
	// suspectPings, contactPings, maxIndirect and maxRelays bound the messages of a round however many members fail.
	suspectPings = 3
	contactPings = 1
	maxIndirect  = 6
	maxRelays    = 16
	maxRows      = 4096
	leaveFanout  = 16
	// fillers is the number of rows without news added to a ping, so that tables converge after any loss.
	fillers = 1
)

// Options configure a detector.
type Options struct {
	// Seed makes the random choices repeatable. 0 derives one from the member's name and incarnation.
	Seed uint64
}

// Detector is the failure detector of one router. Only View is safe for concurrent use.
type Detector struct {
	self    *row
	rows    map[ident.RouterID]*row
	order   []*row
	rand    *rand.Rand
	view    atomic.Pointer[View]
	dirty   bool
	changed bool

	started    bool
	lastTick   time.Duration
	nextRound  time.Duration
	listKnown  bool
	stale      bool
	staleSince time.Duration

	seq      uint32
	probes   map[uint32]*probe
	relays   map[uint32]relay
	rotation []ident.RouterID
	contact  int
	suspects int

	samples    []sample
	nextSample int
}

// New returns a detector that knows only itself.
func New(opts Options, self Member) *Detector {
	seed := opts.Seed
	if seed == 0 {
		seed = xxhash.Sum64String(string(self.ID)) ^ uint64(self.Incarnation)
	}
	self.State = Alive
	d := &Detector{
		rows:   map[ident.RouterID]*row{},
		rand:   rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self.ID)))),
		stale:  true,
		probes: map[uint32]*probe{},
		relays: map[uint32]relay{},
	}
	d.self = d.add(self.ID)
	d.self.Member = self
	d.self.known = true
	d.announce(d.self)
	d.publish()
	return d
}

// SelfIncarnation returns the incarnation of this process. It rises when the process hears of a higher one under its
// own name, so it is settled only once View().Stale is false.
func (d *Detector) SelfIncarnation() ident.Incarnation { return d.self.Incarnation }

// View returns the current view. It is safe from any goroutine.
func (d *Detector) View() *View { return d.view.Load() }

// SetCandidates takes a new VM list. An empty list is ignored: this process runs on a VM, so it cannot be right.
func (d *Detector) SetCandidates(now time.Duration, list []Candidate) {
	if len(list) == 0 {
		return
	}
	d.listKnown = true
	for _, r := range d.order {
		r.listed = false
	}
	for _, c := range list {
		d.list(c)
	}
	d.forget(now)
	d.changed = true
	d.settle()
}

// list marks a candidate as listed and adds it if it is unknown.
func (d *Detector) list(c Candidate) {
	if c.ID == "" {
		return
	}
	r := d.rows[c.ID]
	if r == nil {
		r = d.add(c.ID)
	}
	if r == nil {
		return
	}
	r.listed = true
	if r.State.Live() {
		return
	}
	// A VM that was replaced may come back at another address.
	r.PeerAddr = cmp.Or(c.PeerAddr, r.PeerAddr)
	r.Domain = cmp.Or(c.Domain, r.Domain)
}

// SetSelf changes what this router says about itself.
func (d *Detector) SetSelf(draining bool, gen ident.Generation, load uint32) {
	d.self.Generation = gen
	d.self.Load = load
	d.dirty = true
	if d.self.Draining == draining {
		return
	}
	d.self.Draining = draining
	d.self.Version++
	d.announce(d.self)
	d.settle()
}

// Tick advances time: it ends probes and suspicions, and starts a round of pings each Period. The daemon calls it every
// 100 ms.
func (d *Detector) Tick(now time.Duration) []Outbound {
	d.noticeGap(now)
	var out []Outbound
	out = d.expireProbes(now, out)
	d.expireSuspects(now)
	if now >= d.nextRound {
		// The next round is due by the schedule. Counted from now, each late tick would delay all later rounds by a tick.
		d.nextRound = max(d.nextRound+Period, now)
		d.forget(now)
		out = d.round(now, out)
	}
	d.endStale()
	d.settle()
	if d.dirty {
		d.publish()
	}
	return out
}

// noticeGap handles a process that did not run for a while.
func (d *Detector) noticeGap(now time.Duration) {
	gap := now - d.lastTick
	d.lastTick = now
	if !d.started {
		d.started = true
		d.staleSince = now
		return
	}
	if gap > pauseGap {
		d.wake(now)
		return
	}
	if gap > slowGap {
		d.extend(gap)
	}
}

// wake restarts all timers after a pause: what did not arrive meanwhile says nothing about others.
func (d *Detector) wake(now time.Duration) {
	d.stale = true
	d.staleSince = now
	d.changed = true
	d.nextRound = now
	clear(d.probes)
	clear(d.relays)
	d.samples = d.samples[:0]
	d.nextSample = 0
	for _, r := range d.order {
		if r.State == Suspect {
			r.since = now
		}
	}
}

// extend moves the deadlines of running probes and suspicions by the time that this process lost.
func (d *Detector) extend(gap time.Duration) {
	for _, p := range d.probes {
		p.deadline += gap
	}
	for _, r := range d.order {
		if r.State == Suspect {
			r.since += gap
		}
	}
}

// endStale ends staleness when a majority answered pings sent after the pause.
func (d *Detector) endStale() {
	if !d.stale {
		return
	}
	voters, heard, others := 0, 1, 0
	for _, r := range d.order {
		if !d.votes(r) {
			continue
		}
		voters++
		if r != d.self && r.isHeard && r.heard >= d.staleSince {
			heard++
			others++
		}
	}
	if others == 0 && !d.listKnown {
		return
	}
	if 2*heard <= voters {
		return
	}
	d.stale = false
	d.changed = true
}

// votes reports whether a row counts for majorities.
func (d *Detector) votes(r *row) bool {
	return r.listed || r == d.self || (r.known && r.State != Left)
}

// expireSuspects declares members dead that did not refute their suspicion in time.
func (d *Detector) expireSuspects(now time.Duration) {
	for _, r := range d.order {
		if r.State == Suspect && now-r.since >= suspectTimeout {
			d.setState(r, Dead, now)
		}
	}
}

// forget removes rows that are neither listed nor of use.
func (d *Detector) forget(now time.Duration) {
	d.order = slices.DeleteFunc(d.order, func(r *row) bool {
		if r == d.self || r.listed || r.State.Live() {
			return false
		}
		if r.known && now-r.since < retention {
			return false
		}
		delete(d.rows, r.ID)
		d.changed = true
		return true
	})
}

// setState moves a member to a state and announces it.
func (d *Detector) setState(r *row, s State, since time.Duration) {
	r.State = s
	r.since = since
	d.announce(r)
}

// add inserts an empty row. It returns nil when the table is full.
func (d *Detector) add(id ident.RouterID) *row {
	if len(d.order) >= maxRows {
		return nil
	}
	r := &row{}
	r.ID = id
	d.rows[id] = r
	i := sort.Search(len(d.order), func(i int) bool { return d.order[i].ID >= id })
	d.order = slices.Insert(d.order, i, r)
	d.changed = true
	return r
}

// settle publishes the view if a membership changed.
func (d *Detector) settle() {
	if d.changed {
		d.publish()
	}
}

// publish swaps the view.
func (d *Detector) publish() {
	v := &View{Self: d.self.ID, Stale: d.stale, unheard: map[ident.RouterID]string{}}
	v.members = make([]Member, 0, len(d.order))
	v.live = make([]Member, 0, len(d.order))
	v.voters = make([]voter, 0, len(d.order))
	for _, r := range d.order {
		if !r.known {
			v.unheard[r.ID] = r.PeerAddr
		}
		if d.votes(r) {
			v.voters = append(v.voters, voter{self: r == d.self, heard: r.heard, isHeard: r.isHeard, generation: r.Generation})
		}
		if r.known {
			v.members = append(v.members, r.Member)
		}
		if r.known && r.State.Live() {
			v.live = append(v.live, r.Member)
		}
	}
	v.samples = slices.Clone(d.samples)
	d.view.Store(v)
	d.dirty = false
	d.changed = false
}
