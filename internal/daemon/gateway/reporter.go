package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// relayKey is the key of the rendezvous ranking that selects the relays.
	relayKey = "presence-relays"
	// standbyCount is the number of routers that get the reports of loads although they have no requests, because the
	// directory names them next.
	standbyCount = 8
	// remoteReportPeriod is the time between the reports to routers in other failure domains, if traffic between domains is
	// scarce. Such a router places few requests on this domain's servers and asks their owners first.
	remoteReportPeriod = gossip.MaxPeriod
	// maxRemoteParts is the largest number of newly cached prompt parts in a report to another failure domain.
	maxRemoteParts = 80
	// idleCheckPeriod is how often a router without requests checks whether it has any.
	idleCheckPeriod = 100 * time.Millisecond
)

// reporter sends reports of a router's state to the other routers. It is used by one goroutine.
type reporter struct {
	node *Node
	seq  uint64
	last lastReport
	// announced holds the routers, with their incarnations, that have an announcement of this router's present state.
	announced map[string]uint64
	// nextAnnouncement is when all routers get an announcement again.
	nextAnnouncement time.Time
	// lastPresence is when this router last sent the list of live routers as a relay.
	lastPresence time.Time
	// relays are the relays as of relaysAt.
	relays   map[string]bool
	relaysAt time.Time
	// lastRemote is when the routers in other failure domains last got a whole report. remoteParts are the newly cached
	// prompt parts since then. They are sent once: a lost report is made up for when the parts are used again.
	lastRemote  time.Time
	remoteParts []admission.CachedPart
	// others are the routers of registered, without this one.
	others     []otherRouter
	registered *map[string]discovery.Router
}

// lastReport describes the last report to the routers that need it even if nothing has changed.
type lastReport struct {
	at    time.Time
	idle  bool
	ready bool
}

// due reports whether a report must be sent. A router that is idle and whose readiness has not changed sends one every
// gossip.MaxPeriod.
func (l *lastReport) due(r *gossip.Report) bool {
	return !l.idle || !r.Idle() || r.Ready != l.ready || time.Since(l.at) >= gossip.MaxPeriod
}

func newReporter(n *Node) *reporter {
	// The sequence numbers are above those of an earlier process.
	return &reporter{node: n, seq: n.incarnation, announced: make(map[string]uint64)}
}

// run sends reports until ctx ends.
func (s *reporter) run(ctx context.Context) {
	var sleepStart time.Time
	period := gossip.Period(1)
	for ctx.Err() == nil {
		if !sleepStart.IsZero() {
			s.node.lag.Observe(time.Since(sleepStart) - period)
		}
		r := s.node.newReport()
		if s.last.due(&r) {
			period = s.send(&r, time.Now())
		}
		if s.last.idle {
			period = idleCheckPeriod
		}
		s.node.removeLostPeers()
		sleepStart = time.Now()
		periodic.Sleep(ctx, period)
	}
}

// send sends a report to the routers that need it now. It returns the time until the next report may be due.
func (s *reporter) send(r *gossip.Report, now time.Time) time.Duration {
	s.seq++
	r.Seq = s.seq
	others := s.otherRouters()
	active := s.node.activeRouters(now)
	if len(others) < gossip.RelayedFleet {
		s.sendDirect(r, now, others, active)
	} else {
		s.sendRelayed(r, now, others, active)
	}
	return gossip.Period(len(active) + 1)
}

// sendDirect sends a report to the active routers, and to all others if that is due. Only the active ones need to know
// each change of the loads at once.
func (s *reporter) sendDirect(r *gossip.Report, now time.Time, others []otherRouter, active map[string]bool) {
	idle := r.Idle()
	all := idle || r.Ready != s.last.ready || now.Sub(s.last.at) >= gossip.MaxPeriod
	if all {
		s.last = lastReport{at: now, idle: idle, ready: r.Ready}
	}
	var recipients []netip.AddrPort
	for _, o := range others {
		if all || active[o.id] {
			recipients = append(recipients, o.address)
		}
	}
	r.IntervalMS = int(gossip.MaxPeriod.Milliseconds())
	// The claim is large and not needed often.
	if all && len(recipients) < maxDirectFleet {
		s.node.addFreshnessClaim(r)
	}
	s.node.exchange.RecordSent(r.Seq)
	s.node.send(r, recipients...)
}

// sendRelayed sends a report to the relays and, if this router places requests on engines, to those that do or will
// next. The others get an announcement when this router's state has changed, when they have started, and every
// AnnouncePeriod.
func (s *reporter) sendRelayed(r *gossip.Report, now time.Time, others []otherRouter, active map[string]bool) {
	idle := r.Idle()
	// The routers that know this router's loads get one more report when it has become idle.
	loadsDue := !idle || !s.last.idle
	if r.Ready != s.last.ready || !now.Before(s.nextAnnouncement) || s.isolated(now) {
		clear(s.announced)
		s.nextAnnouncement = now.Add(s.announcePause(now))
	}
	s.last = lastReport{at: now, idle: idle, ready: r.Ready}
	if now.Sub(s.relaysAt) >= gossip.MaxPeriod {
		s.relays, s.relaysAt = s.node.chooseRelays(now), now
	}
	if !loadsDue {
		active = nil
	}
	to := s.recipients(now, others, active)
	s.announce(r, to.announce)
	r.IntervalMS = int(gossip.MaxPeriod.Milliseconds())
	if idle {
		r.IntervalMS = int(gossip.RelayedInterval.Milliseconds())
	}
	s.sendRemote(r, now, to)
	s.node.send(r, to.whole...)
	if s.relays[s.node.settings.Router] && now.Sub(s.lastPresence) >= gossip.RelayPeriod {
		s.lastPresence = now
		s.sendPresence(r, now, others)
	}
}

// recipients are the addresses of the routers that get a report: the whole report, the one for other failure domains, or
// an announcement.
type recipients struct {
	whole, remote, announce []netip.AddrPort
	// remoteDue is set if the report for other failure domains is due.
	remoteDue bool
}

// recipients returns the routers that get the whole report and those that get an announcement. The loads are due if active
// is not nil: the routers in it and those on standby get the whole report then.
func (s *reporter) recipients(now time.Time, others []otherRouter, active map[string]bool) recipients {
	var standby map[string]bool
	if active != nil {
		standby = s.node.standbyRouters()
	}
	remote := s.node.remoteRouters(now)
	to := recipients{remoteDue: now.Sub(s.lastRemote) >= remoteReportPeriod || s.last.idle}
	for _, o := range others {
		switch needed := s.relays[o.id] || active[o.id] || standby[o.id]; {
		case needed && !remote[o.id]:
			to.whole = append(to.whole, o.address)
		case needed && to.remoteDue:
			to.remote = append(to.remote, o.address)
		case s.announced[o.id] != o.incarnation:
			to.announce = append(to.announce, o.address)
		default:
			continue
		}
		s.announced[o.id] = o.incarnation
	}
	return to
}

// sendRemote sends a report to routers in other failure domains, if it is due. It has all prompt parts that were cached
// since the last one.
func (s *reporter) sendRemote(r *gossip.Report, now time.Time, to recipients) {
	s.remoteParts = append(s.remoteParts, s.node.lastCachedParts...)
	s.remoteParts = s.remoteParts[max(len(s.remoteParts)-maxRemoteParts, 0):]
	if !to.remoteDue {
		return
	}
	remote := *r
	remote.Parts = groupCachedParts(s.remoteParts)
	s.lastRemote, s.remoteParts = now, nil
	if len(to.remote) > 0 {
		s.node.send(&remote, to.remote...)
	}
}

// announce sends an announcement of this router. Its recipients hear of it from relays only.
func (s *reporter) announce(r *gossip.Report, recipients []netip.AddrPort) {
	if len(recipients) == 0 {
		return
	}
	a := r.Announcement()
	a.IntervalMS = int(gossip.RelayedInterval.Milliseconds())
	s.node.send(&a, recipients...)
}

// announcePause returns the time until the next announcement to all routers. It is short while this router does not hear
// from most others, because they or the relays may have been lost at once.
func (s *reporter) announcePause(now time.Time) time.Duration {
	if !s.hearsMost(now) {
		return gossip.RelayPeriod
	}
	return gossip.AnnouncePeriod/2 + rand.N(gossip.AnnouncePeriod)
}

// isolated reports whether this router has stopped hearing from most others since its last announcement.
func (s *reporter) isolated(now time.Time) bool {
	return s.nextAnnouncement.Sub(now) > gossip.RelayPeriod && !s.hearsMost(now)
}

// hearsMost reports whether most of the routers with an entry in the store are live.
func (s *reporter) hearsMost(now time.Time) bool {
	return 2*len(s.node.peers.Live(now)) >= len(s.others)
}

// sendPresence sends the list of live routers to all others. A router that has only just started has no list yet.
func (s *reporter) sendPresence(own *gossip.Report, now time.Time, others []otherRouter) {
	if !s.hearsMost(now) {
		return
	}
	addresses := make([]netip.AddrPort, len(others))
	for i, o := range others {
		addresses[i] = o.address
	}
	for _, part := range s.node.peers.Presence(now, own) {
		s.node.send(part, addresses...)
	}
}

// otherRouter is a router with an entry in the store.
type otherRouter struct {
	id          string
	incarnation uint64
	address     netip.AddrPort
}

// otherRouters returns the routers with an entry in the store but this one.
func (s *reporter) otherRouters() []otherRouter {
	registered := s.node.routers.Load()
	if registered == s.registered {
		return s.others
	}
	others := make([]otherRouter, 0, len(*registered))
	for id, r := range *registered {
		if id != s.node.settings.Router {
			others = append(others, otherRouter{id: id, incarnation: r.Incarnation, address: r.PeerAddress})
		}
	}
	s.others, s.registered = others, registered
	return others
}

// activeRouters returns the other routers that place requests on engines.
func (n *Node) activeRouters(now time.Time) map[string]bool {
	active := make(map[string]bool)
	for _, p := range n.peers.Live(now) {
		if p.Active() {
			active[p.Router] = true
		}
	}
	return active
}

// remoteRouters returns the live routers in other failure domains, if traffic between domains is scarce.
func (n *Node) remoteRouters(now time.Time) map[string]bool {
	if !n.settings.DomainAware {
		return nil
	}
	remote := make(map[string]bool)
	for _, p := range n.peers.Live(now) {
		if p.Domain != n.settings.FailureDomain {
			remote[p.Router] = true
		}
	}
	return remote
}

// standbyRouters returns the routers that the directory names or would name next.
func (n *Node) standbyRouters() map[string]bool {
	var candidates []balance.Candidate
	for _, p := range n.readyPeers() {
		candidates = append(candidates, candidate(p, n.settings.FailureDomain))
	}
	standby := make(map[string]bool)
	for _, router := range balance.Preferred(candidates, standbyCount) {
		standby[router] = true
	}
	return standby
}

// chooseRelays returns the relays in use, this router included if it is one. The routers must have been read.
func (n *Node) chooseRelays(now time.Time) map[string]bool {
	registered := n.routers.Load()
	candidates := []reservation.Candidate{{Router: n.settings.Router, Cores: n.settings.Cores}}
	lastSigns := make(map[string]time.Time)
	for _, p := range n.peers.Known() {
		lastSigns[p.Router] = p.Heard
		if _, ok := (*registered)[p.Router]; !ok {
			continue
		}
		candidates = append(candidates, reservation.Candidate{Router: p.Router, Cores: float64(p.Cores)})
	}
	preferred, rest := reservation.SplitByCores(candidates)
	return n.relays.Choose(now, append(rankRelays(preferred), rankRelays(rest)...), lastSigns)
}

// rankRelays returns the names of routers in an order that all routers agree on.
func rankRelays(candidates []reservation.Candidate) []string {
	ids := make([]ident.RouterID, len(candidates))
	for i, c := range candidates {
		ids[i] = ident.RouterID(c.Router)
	}
	ranked := make([]string, len(ids))
	for i, id := range ownership.Top(relayKey, ids, len(ids)) {
		ranked[i] = string(id)
	}
	return ranked
}

// removeLostPeers drops the state of routers that no longer send reports.
func (n *Node) removeLostPeers() {
	for _, router := range n.peers.RemoveLost(time.Now()) {
		n.log.Info("router lost", zap.String("router", router))
		n.admission.ForgetPeer(router)
		n.exchange.Forget(router)
	}
}
