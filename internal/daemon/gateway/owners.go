package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/pending"
	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/protocol/datagrams"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

const (
	// flushPeriod is how often changed loads are sent to their owners. It is well below the time that an engine needs to
	// process a prompt.
	flushPeriod = 10 * time.Millisecond
	// assignmentPeriod is how often the owners are assigned again. resendPeriod is how often all loads are sent again,
	// because datagrams may be lost.
	assignmentPeriod = 100 * time.Millisecond
	resendPeriod     = 400 * time.Millisecond
	// endResendTime is how long the end of a load is sent again with the loads. It is about the time for which an owner
	// counts a load after its last report.
	endResendTime = 1500 * time.Millisecond
	// ownersIdlePeriod is how often the owners are assigned while this router neither has requests nor owns loads.
	ownersIdlePeriod = 400 * time.Millisecond
)

// newLoadOwners returns the load owners of a node and registers their metric.
func newLoadOwners(n *Node) *loadOwners {
	outcomes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_reservations_total",
		Help: "Places asked of the routers that own the loads of servers, by outcome: granted, full, unanswered.",
	}, []string{"outcome"})
	n.registry.MustRegister(outcomes)
	o := &loadOwners{
		node:            n,
		pendingRequests: pending.NewCalls[reservation.Answer](),
		reserved:        make(chan struct{}, 1),
		outcomes:        outcomes,
		ended:           make(map[string]time.Time),
	}
	o.limits = newLimitExchange(n, o)
	return o
}

// loadOwners implements admission.Owners. It assigns the load of each server to an owning router, and exchanges loads
// and reservations with the owners.
type loadOwners struct {
	node            *Node
	pendingRequests *pending.Calls[reservation.Answer]
	table           atomic.Pointer[ownerTable]
	// reserved is signalled by each reservation and by changed limits, so that an idle run flushes soon.
	reserved chan struct{}
	// outcomes counts the reservation requests by outcome.
	outcomes *prometheus.CounterVec
	// denied and unanswered count the reservation requests without a grant, for the log.
	denied, unanswered atomic.Int64
	// lastAssignment and lastResend are used by the flushing goroutine only.
	lastAssignment, lastResend time.Time
	// limits exchanges what servers say about their limits of requests a second.
	limits *limitExchange
	// ended holds the servers on which this router's load has ended within endResendTime, with the time of the end.
	// Only the flushing goroutine uses it.
	ended map[string]time.Time
}

// ownerTable is an assignment of servers to owners. It is immutable.
type ownerTable struct {
	// direct is set in a small fleet, in which the routers report their loads to all others. The owners then only grant the
	// permits for servers with a limit of requests a second.
	direct bool
	// self is the name of this router.
	self       string
	servers    *backends.Set
	candidates []reservation.Candidate
	// owner maps a server to the router that owns its load.
	owner     map[string]string
	addresses map[string]netip.AddrPort
	// knowsYielding holds the routers that understand a reservation.YieldingPermitRequest.
	knowsYielding map[string]bool
	// owned lists the servers whose loads this router owns, sorted.
	owned []string
}

var _ admission.Owners = (*loadOwners)(nil)

// loadTable returns the assignment, or nil in a fleet without owners of loads.
func (o *loadOwners) loadTable() *ownerTable {
	if table := o.table.Load(); table != nil && !table.direct {
		return table
	}
	return nil
}

// Reserve implements admission.Owners.
func (o *loadOwners) Reserve(
	ctx context.Context, r reservation.Request, limit *serverlimit.Entry,
) (reservation.Answer, reservation.Outcome) {
	o.wake()
	table := o.table.Load()
	owner, address, ok := table.ownerOf(r.Server)
	switch {
	case ok && owner == o.node.settings.Router, limit == nil && (!ok || table.direct):
		return reservation.Answer{}, reservation.Local
	case !ok:
		return reservation.Answer{}, reservation.Unanswered
	}
	if limit != nil {
		// The owner may not have heard yet that the server is cold, and would grant a permit above its rate.
		o.limits.sendWarmups([]string{r.Server}, address)
	}
	answer, ok := o.pendingRequests.Call(ctx, owner, func(id uint64) {
		if table.direct {
			o.node.send(table.permitRequest(owner, reservation.PermitRequest{
				ID: id, Router: o.node.settings.Router, Limit: *limit, Yields: r.Yields,
			}), address)
			return
		}
		r.ID, r.Router = id, o.node.settings.Router
		o.node.send(r, address)
	})
	o.countOutcome(answer, ok)
	if !ok {
		return reservation.Answer{}, reservation.Unanswered
	}
	if limit != nil && !answer.Limited {
		o.node.send(reservation.LimitNotice{Router: o.node.settings.Router, Limits: []serverlimit.Entry{*limit}}, address)
	}
	answer.Owner, answer.PermitOnly = owner, table.direct
	return answer, reservation.Answered
}

// wake ends an idle period of run.
func (o *loadOwners) wake() {
	select {
	case o.reserved <- struct{}{}:
	default:
	}
}

// ownerOf returns the owner of a server and its address, which is not valid for this router. It returns false if the
// server has no owner whose address is known.
func (t *ownerTable) ownerOf(server string) (owner string, address netip.AddrPort, ok bool) {
	if t == nil {
		return "", netip.AddrPort{}, false
	}
	owner = t.owner[server]
	if owner == t.self {
		return owner, netip.AddrPort{}, owner != ""
	}
	address, ok = t.addresses[owner]
	return owner, address, ok
}

// permitRequest returns the message that asks an owner for a permit.
func (t *ownerTable) permitRequest(owner string, r reservation.PermitRequest) any {
	if r.Yields && t.knowsYielding[owner] {
		return reservation.YieldingPermitRequest{Request: r}
	}
	return r
}

// owns reports whether this router owns a server.
func (o *loadOwners) owns(server string) bool {
	owner, _, ok := o.table.Load().ownerOf(server)
	return ok && owner == o.node.settings.Router
}

// countOutcome counts the outcome of a reservation request for the metric and the log.
func (o *loadOwners) countOutcome(a reservation.Answer, answered bool) {
	label := "granted"
	switch {
	case !answered:
		label = "unanswered"
		o.unanswered.Add(1)
	case !a.Granted:
		label = "full"
		o.denied.Add(1)
	}
	o.outcomes.WithLabelValues(label).Inc()
}

// run flushes until ctx ends: every flushPeriod while this router has requests, loads or owned loads, and otherwise
// every ownersIdlePeriod. A reservation ends an idle period, because the owner counts the load until it hears of its
// end.
func (o *loadOwners) run(ctx context.Context) {
	for periodic.Sleep(ctx, flushPeriod) {
		o.flush(time.Now())
		if o.idle() {
			o.awaitReservation(ctx, ownersIdlePeriod-flushPeriod)
		}
	}
}

// awaitReservation waits until this router asks for a reservation, for at most d.
func (o *loadOwners) awaitReservation(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.reserved:
	case <-ctx.Done():
	}
}

// idle reports whether this router neither has requests nor owns loads, and has told the owners of the end of its
// loads.
func (o *loadOwners) idle() bool {
	table := o.loadTable()
	return o.node.gateway.Active() == 0 && (table == nil || len(table.owned) == 0) && o.node.admission.LoadsSettled()
}

// flush sends capacity notices to routers and changed loads to their owners. It updates the owners and resends all
// loads when that is due.
func (o *loadOwners) flush(now time.Time) {
	resendAll := now.Sub(o.lastResend) >= resendPeriod
	if now.Sub(o.lastAssignment) >= assignmentPeriod {
		o.lastAssignment = now
		resendAll = o.updateOwners() || resendAll
	}
	o.limits.flush(now)
	changed := o.node.admission.TakeChanged()
	table := o.loadTable()
	if table == nil {
		clear(o.ended)
		return
	}
	o.recordEnded(now, changed)
	if resendAll {
		o.lastResend = now
	}
	for _, notification := range o.node.admission.TakeNotifications() {
		if address, ok := table.addresses[notification.Router]; ok {
			o.node.send(notification.Notice, address)
		}
	}
	if resendAll {
		changed = append(changed, o.loadsToResend(now)...)
	}
	byOwner := make(map[string][]reservation.ServerLoad)
	for _, l := range changed {
		owner := table.owner[l.Server]
		byOwner[owner] = append(byOwner[owner], l)
	}
	for owner, parts := range byOwner {
		if address, ok := table.addresses[owner]; ok {
			o.node.send(reservation.Loads{Router: o.node.settings.Router, Parts: parts}, address)
		}
	}
}

// recordEnded records which of the changed loads have ended.
func (o *loadOwners) recordEnded(now time.Time, changed []reservation.ServerLoad) {
	for _, l := range changed {
		if l.Load == (engineload.Load{}) {
			o.ended[l.Server] = now
		} else {
			delete(o.ended, l.Server)
		}
	}
}

// loadsToResend returns this router's loads, and empty loads for the servers on which they have ended within
// endResendTime.
func (o *loadOwners) loadsToResend(now time.Time) []reservation.ServerLoad {
	own := o.node.admission.OwnLoads()
	list := make([]reservation.ServerLoad, 0, len(own)+len(o.ended))
	for server, l := range own {
		list = append(list, reservation.ServerLoad{Server: server, Load: l})
	}
	for server, at := range o.ended {
		switch _, loaded := own[server]; {
		case now.Sub(at) > endResendTime:
			delete(o.ended, server)
		case !loaded:
			list = append(list, reservation.ServerLoad{Server: server})
		}
	}
	return list
}

// updateOwners assigns the owners again if routers or servers have changed. It reports whether it did.
func (o *loadOwners) updateOwners() bool {
	now := time.Now()
	live := o.node.peers.Live(now)
	candidates := o.candidates(live)
	servers := o.node.servers.Load()
	previous := o.table.Load()
	o.limits.updateShare(now, live)
	o.node.budget.SetRouters(o.node.routerCount(live))
	if previous != nil && previous.servers == servers && slices.Equal(previous.candidates, candidates) {
		return false
	}
	table := o.newTable(servers, candidates)
	var adopted []string
	for _, server := range table.owned {
		if previous == nil || previous.owner[server] != o.node.settings.Router {
			adopted = append(adopted, server)
		}
	}
	o.node.admission.Adopt(adopted)
	o.node.log.Debug("load owners assigned", zap.Int("candidates", len(candidates)), zap.Int("owned", len(table.owned)))
	o.table.Store(table)
	o.limits.notifyNewOwners(previous, table)
	return true
}

// candidates returns the routers that may be owners: those that are ready, or all live ones if none is. During a long
// outage of the store no router is ready, and each one would be the owner of all servers. This router is none if it has lost
// its entry for long: the others have replaced it.
func (o *loadOwners) candidates(live []gossip.Peer) []reservation.Candidate {
	n := o.node
	own := reservation.Candidate{
		Router: n.settings.Router, Domain: n.settings.FailureDomain,
		Cores:         float64(float32(n.settings.Cores)), // the precision that other routers receive in reports
		KnowsYielding: true,
	}
	anyReady := n.ready() || slices.ContainsFunc(live, func(p gossip.Peer) bool { return p.Ready })
	var list []reservation.Candidate
	if (n.ready() || !anyReady) && n.entry.lostFor(time.Now()) < maxUnregistered {
		list = append(list, own)
	}
	for _, p := range live {
		if p.Ready || !anyReady {
			list = append(list, reservation.Candidate{
				Router: p.Router, Domain: p.Domain, Cores: float64(p.Cores), KnowsYielding: p.KnowsYielding,
			})
		}
	}
	return list
}

func (o *loadOwners) newTable(servers *backends.Set, candidates []reservation.Candidate) *ownerTable {
	domains := make(map[string]string, servers.Len())
	for id, server := range servers.All() {
		domains[id] = server.FailureDomain
	}
	table := &ownerTable{
		direct: len(candidates) <= maxDirectFleet, self: o.node.settings.Router, servers: servers, candidates: candidates,
		owner: reservation.Owners(domains, candidates), addresses: make(map[string]netip.AddrPort),
		knowsYielding: make(map[string]bool),
	}
	for _, c := range candidates {
		table.knowsYielding[c.Router] = c.KnowsYielding
	}
	registered := o.node.routers.Load()
	for _, c := range candidates {
		if registered == nil || c.Router == o.node.settings.Router {
			continue
		}
		if router, ok := (*registered)[c.Router]; ok {
			table.addresses[c.Router] = router.PeerAddress
		}
	}
	for server, owner := range table.owner {
		if owner == o.node.settings.Router {
			table.owned = append(table.owned, server)
		}
	}
	slices.Sort(table.owned)
	return table
}

// totals returns the total loads of the servers that this router owns. It returns false in a fleet without owners.
func (o *loadOwners) totals() ([]reservation.ServerLoad, bool) {
	table := o.loadTable()
	if table == nil {
		return nil, false
	}
	return o.node.admission.Totals(table.owned), true
}

// handleTotals records the total loads that another router reports, for those servers that it owns.
func (o *loadOwners) handleTotals(router string, totals []reservation.ServerLoad) {
	table := o.loadTable()
	if table == nil {
		return
	}
	o.node.admission.SetTotals(slices.DeleteFunc(totals, func(l reservation.ServerLoad) bool {
		return table.owner[l.Server] != router
	}))
}

// send encodes a message and sends it to other routers as a datagram.
func (n *Node) send(message any, to ...netip.AddrPort) {
	data, err := datagrams.Encode(message)
	if err != nil {
		n.log.Error("datagram not encoded", logfield.Error(err))
		return
	}
	for _, address := range to {
		n.transmit(address, data)
	}
}

// onDatagram handles a datagram from another router.
func (n *Node) onDatagram(from netip.AddrPort, data []byte) {
	message, err := datagrams.Decode(data)
	if err != nil {
		n.log.Warn("datagram not decoded", zap.Stringer("from", from), logfield.Error(err))
		return
	}
	switch m := message.(type) {
	case *gossip.Report:
		n.handleReport(m)
	case gossip.Presence:
		now := time.Now()
		n.relays.Heard(now, m.Relay)
		n.peers.Observe(now, &m)
	case reservation.Request:
		n.send(n.answerReservation(m, from), from)
	case reservation.Denial:
		n.handleDraining(m.Router, []serverdrain.Incarnation{m.Server})
		n.owners.pendingRequests.Resolve(m.ID, reservation.Answer{ID: m.ID, Draining: true})
	case reservation.DrainNotice:
		n.handleDraining(m.Router, []serverdrain.Incarnation{m.Server})
	case reservation.Answer:
		n.owners.pendingRequests.Resolve(m.ID, m)
	case reservation.PermitRequest:
		n.send(n.owners.limits.answerPermit(m, from), from)
	case reservation.YieldingPermitRequest:
		m.Request.Yields = true
		n.send(n.owners.limits.answerPermit(m.Request, from), from)
	case reservation.PermitAnswer:
		n.owners.limits.handleAnswer(m, from)
	case reservation.PermitReturn:
		n.admission.ReceiveReturn(m)
	case reservation.LimitNotice:
		n.owners.limits.handleNotice(m, from)
	case reservation.WarmupNotice:
		n.owners.limits.handleWarmups(m, from)
	case reservation.CapacityNotice:
		n.admission.HandleCapacityNotice(m)
	case reservation.Loads:
		n.admission.SetOwnedLoads(m.Router, m.Parts)
	case poison.Evidence:
		n.poison.handleEvidence(m, from)
	case poison.TrialRequest:
		n.send(poison.TrialAnswer{ID: m.ID, Granted: n.poison.guard.GrantTrial(m.Router, m.Ask)}, from)
	case poison.TrialAnswer:
		n.poison.calls.Resolve(m.ID, m)
	case poison.TrialEnd:
		n.poison.guard.EndTrial(m.Router, m.Fingerprint, m.Sent)
	}
}
