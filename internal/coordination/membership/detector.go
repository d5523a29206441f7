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
	// MaxUpdates bounds the number of updates in one packet.
	MaxUpdates = 8
	// MaxIncarnation is the exclusive upper bound of the incarnations accepted from others, so that choosing a higher one
	// cannot overflow.
	MaxIncarnation = ident.Incarnation(1) << 62

	// ackTimeout is how long a direct ping waits for its ack. It leaves time for the round trip between regions.
	ackTimeout = 200 * time.Millisecond
	// indirectTimeout is how long indirect pings wait for an ack, counted from the sending of the direct ping.
	indirectTimeout = 400 * time.Millisecond
	// suspectTimeout is the time from the sending of the first unanswered ping until a suspect is declared dead, so that
	// all routers detect a crash within 3 s.
	suspectTimeout = 2 * time.Second
	// pauseThreshold is the time between ticks above which this process counts as having been paused.
	pauseThreshold = 2 * time.Second
	// lateTickThreshold is the time between ticks above which late acks may be the fault of this process.
	lateTickThreshold = 300 * time.Millisecond
	// deadRetention is how long a dead member that is not listed is remembered; partitions last minutes.
	deadRetention = 10 * time.Minute

	// indirectPings is the number of members that are asked to ping a member that did not answer a direct ping.
	indirectPings = 2
	// suspectPings, nonLivePings, maxIndirectPerTick and maxRelays bound the messages of a round however many members
	// fail.
	suspectPings       = 3
	nonLivePings       = 1
	maxIndirectPerTick = 6
	maxRelays          = 16
	// maxRows is the largest number of rows of the member table.
	maxRows = 4096
	// leaveFanout is the number of members that a leaving router notifies directly.
	leaveFanout = 16
	// antiEntropyRows is the number of rows without news added to a ping, so that tables converge whatever packets were
	// lost.
	antiEntropyRows = 1
)

// Options configure a detector.
type Options struct {
	// Seed makes the random choices repeatable. With 0, a seed is derived from the member's ID and incarnation.
	Seed uint64
}

// Detector is the failure detector of one router. Only View is safe for concurrent use.
type Detector struct {
	self *row
	rows map[ident.RouterID]*row
	// sortedRows holds the rows sorted by ID.
	sortedRows []*row
	rand       *rand.Rand
	view       atomic.Pointer[View]
	// publishOnTick asks for a new view at the next tick, publishNow for one at the end of the current call.
	publishOnTick bool
	publishNow    bool

	started   bool
	lastTick  time.Duration
	nextRound time.Duration
	// listKnown says that a VM list that was not empty has been received.
	listKnown bool
	// stale and staleSince are the staleness of the view and the time at which it began; see View.Stale.
	stale      bool
	staleSince time.Duration

	// seq is the number of the last ping. Probes and relays are held by the numbers of their pings.
	seq    uint32
	probes map[uint32]*probe
	relays map[uint32]relayedPing
	// rotation holds the live members that are still to be pinged in this shuffled pass.
	rotation []ident.RouterID
	// nonLiveCursor and suspectCursor are the positions in sortedRows from which pickNext continues.
	nonLiveCursor int
	suspectCursor int

	// samples is a ring buffer of at most maxSamples results; nextSample is the oldest one once it is full.
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
		relays: map[uint32]relayedPing{},
	}
	d.self = d.addRow(self.ID)
	d.self.Member = self
	d.self.known = true
	d.announce(d.self)
	d.publish()
	return d
}

// SelfIncarnation returns the incarnation of this process. It rises when the process hears of a higher one under its
// own ID, so it is final only once View().Stale is false.
func (d *Detector) SelfIncarnation() ident.Incarnation { return d.self.Incarnation }

// View returns the current view. It is safe for concurrent use.
func (d *Detector) View() *View { return d.view.Load() }

// SetCandidates replaces the VM list. An empty list is ignored: this process runs on a VM, so the list must be wrong.
func (d *Detector) SetCandidates(now time.Duration, list []Candidate) {
	if len(list) == 0 {
		return
	}
	d.listKnown = true
	for _, r := range d.sortedRows {
		r.listed = false
	}
	for _, c := range list {
		d.markListed(c)
	}
	d.removeObsolete(now)
	d.publishNow = true
	d.publishIfChanged()
}

// markListed marks a candidate as listed and adds it if it is unknown.
func (d *Detector) markListed(c Candidate) {
	if c.ID == "" {
		return
	}
	r := d.rows[c.ID]
	if r == nil {
		r = d.addRow(c.ID)
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

// SetSelf changes what this router reports about itself.
func (d *Detector) SetSelf(draining bool, gen ident.Generation, load uint32) {
	d.self.Generation = gen
	d.self.Load = load
	d.publishOnTick = true
	if d.self.Draining == draining {
		return
	}
	d.self.Draining = draining
	d.self.Version++
	d.announce(d.self)
	d.publishIfChanged()
}

// Tick advances time to now. It ends probes and suspicions that timed out, starts a round of pings every Period, and
// returns the packets to send. The daemon calls it every 100 ms.
func (d *Detector) Tick(now time.Duration) []Outbound {
	d.checkTickGap(now)
	var out []Outbound
	out = d.expireProbes(now, out)
	d.expireSuspects(now)
	if now >= d.nextRound {
		// The next round follows a fixed schedule. Counted from now, each late tick would delay all later rounds by a tick.
		d.nextRound = max(d.nextRound+Period, now)
		d.removeObsolete(now)
		out = d.startRound(now, out)
	}
	d.updateStale()
	d.publishIfChanged()
	if d.publishOnTick {
		d.publish()
	}
	return out
}

// checkTickGap detects a pause or a delay of this process by the time since the last tick.
func (d *Detector) checkTickGap(now time.Duration) {
	gap := now - d.lastTick
	d.lastTick = now
	if !d.started {
		d.started = true
		d.staleSince = now
		return
	}
	if gap > pauseThreshold {
		d.resetAfterPause(now)
		return
	}
	if gap > lateTickThreshold {
		d.extendDeadlines(gap)
	}
}

// resetAfterPause makes the view stale, drops all probes and relays, and restarts the timers of suspicions: packets
// that did not arrive during the pause say nothing about other members.
func (d *Detector) resetAfterPause(now time.Duration) {
	d.stale = true
	d.staleSince = now
	d.publishNow = true
	d.nextRound = now
	clear(d.probes)
	clear(d.relays)
	d.samples = d.samples[:0]
	d.nextSample = 0
	for _, r := range d.sortedRows {
		if r.State == Suspect {
			r.since = now
		}
	}
}

// extendDeadlines extends the deadlines of running probes and suspicions by the time for which this process did not
// run.
func (d *Detector) extendDeadlines(gap time.Duration) {
	for _, p := range d.probes {
		p.deadline += gap
	}
	for _, r := range d.sortedRows {
		if r.State == Suspect {
			r.since += gap
		}
	}
}

// updateStale ends the staleness of the view when a majority has answered pings that were sent since it began.
func (d *Detector) updateStale() {
	if !d.stale {
		return
	}
	voters, answered, others := 0, 1, 0
	for _, r := range d.sortedRows {
		if !d.isVoter(r) {
			continue
		}
		voters++
		if r != d.self && r.hasAcked && r.lastAcked >= d.staleSince {
			answered++
			others++
		}
	}
	if others == 0 && !d.listKnown {
		return
	}
	if 2*answered <= voters {
		return
	}
	d.stale = false
	d.publishNow = true
}

// isVoter reports whether a row counts towards majorities.
func (d *Detector) isVoter(r *row) bool {
	return r.listed || r == d.self || (r.known && r.State != Left)
}

// expireSuspects declares suspects dead that did not refute the suspicion in time.
func (d *Detector) expireSuspects(now time.Duration) {
	for _, r := range d.sortedRows {
		if r.State == Suspect && now-r.since >= suspectTimeout {
			d.setState(r, Dead, now)
		}
	}
}

// removeObsolete removes rows that are not listed and not live, except of members that were live within deadRetention.
func (d *Detector) removeObsolete(now time.Duration) {
	d.sortedRows = slices.DeleteFunc(d.sortedRows, func(r *row) bool {
		if r == d.self || r.listed || r.State.Live() {
			return false
		}
		if r.known && now-r.since < deadRetention {
			return false
		}
		delete(d.rows, r.ID)
		d.publishNow = true
		return true
	})
}

// setState sets a member's state and announces it.
func (d *Detector) setState(r *row, s State, since time.Duration) {
	r.State = s
	r.since = since
	d.announce(r)
}

// addRow inserts an empty row. It returns nil if the table is full.
func (d *Detector) addRow(id ident.RouterID) *row {
	if len(d.sortedRows) >= maxRows {
		return nil
	}
	r := &row{}
	r.ID = id
	d.rows[id] = r
	i := sort.Search(len(d.sortedRows), func(i int) bool { return d.sortedRows[i].ID >= id })
	d.sortedRows = slices.Insert(d.sortedRows, i, r)
	d.publishNow = true
	return r
}

// publishIfChanged publishes a new view if the membership changed.
func (d *Detector) publishIfChanged() {
	if d.publishNow {
		d.publish()
	}
}

// publish replaces the view by a copy of the current table.
func (d *Detector) publish() {
	v := &View{Self: d.self.ID, Stale: d.stale, candidateAddrs: map[ident.RouterID]string{}}
	v.members = make([]Member, 0, len(d.sortedRows))
	v.live = make([]Member, 0, len(d.sortedRows))
	v.voters = make([]voter, 0, len(d.sortedRows))
	for _, r := range d.sortedRows {
		if !r.known {
			v.candidateAddrs[r.ID] = r.PeerAddr
		}
		if d.isVoter(r) {
			v.voters = append(v.voters,
				voter{self: r == d.self, lastAcked: r.lastAcked, hasAcked: r.hasAcked, generation: r.Generation})
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
	d.publishOnTick = false
	d.publishNow = false
}
