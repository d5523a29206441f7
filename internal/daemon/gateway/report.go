package gateway

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// runReports sends reports of this router's state to the other routers until ctx ends. Reports go to the active
// routers, and every gossip.MaxPeriod to all. While this router takes no requests, it only sends reports to all, every
// gossip.IdlePeriod.
func (n *Node) runReports(ctx context.Context) {
	seq := n.incarnation // above the sequence numbers of an earlier process
	var sleepStart time.Time
	var period time.Duration
	var last lastReport
	for ctx.Err() == nil {
		if !sleepStart.IsZero() {
			n.lag.Observe(time.Since(sleepStart) - period)
		}
		r := n.newReport()
		if last.due(&r) {
			seq++
			r.Seq = seq
			period = n.sendReport(&r, &last)
		}
		n.removeLostPeers()
		sleepStart = time.Now()
		periodic.Sleep(ctx, period)
	}
}

// lastReport describes the last report that was sent to all routers.
type lastReport struct {
	at       time.Time
	idle     bool
	ready    bool
	interval time.Duration
}

// due reports whether a report must be sent. A router that is idle and whose readiness has not changed sends none until
// the interval that it announced ends.
func (l *lastReport) due(r *gossip.Report) bool {
	return !l.idle || !r.Idle() || r.Ready != l.ready || time.Since(l.at) >= l.interval
}

// sendReport sends a report to the active routers, or to all if that is due. It returns the time until the next report
// may be due.
func (n *Node) sendReport(r *gossip.Report, last *lastReport) time.Duration {
	all, active := n.reportTargets()
	recipients := active
	idle := r.Idle()
	broadcast := time.Since(last.at) >= gossip.MaxPeriod || idle || r.Ready != last.ready
	interval := gossip.MaxPeriod
	if idle {
		interval = gossip.IdlePeriod(len(all) + 1)
	}
	if broadcast {
		recipients = all
		*last = lastReport{at: time.Now(), idle: idle, ready: r.Ready, interval: interval}
	}
	r.IntervalMS = int(interval.Milliseconds())
	// The claim is large and not needed often.
	if broadcast && len(recipients) < maxDirectFleet {
		n.addFreshnessClaim(r)
	}
	n.exchange.RecordSent(r.Seq)
	n.send(r, recipients...)
	return gossip.Period(len(active) + 1)
}

// reportTargets returns the addresses of all other routers, and of the active ones, which handle requests. Only the
// active ones need to know each change of the loads at once.
func (n *Node) reportTargets() (all, active []netip.AddrPort) {
	routers := n.routers.Load()
	if routers == nil {
		return nil, nil
	}
	handlesRequests := make(map[string]bool)
	for _, p := range n.peers.Live(time.Now()) {
		handlesRequests[p.Router] = p.Rate > 0 || p.Queue > 0 || len(p.Loads) > 0
	}
	for id, r := range *routers {
		address, err := netip.ParseAddrPort(r.PeerAddress)
		if id == n.settings.Router || err != nil {
			continue
		}
		all = append(all, address)
		if handlesRequests[id] {
			active = append(active, address)
		}
	}
	return all, active
}

// newReport returns a report of this router's state without a sequence number.
func (n *Node) newReport() gossip.Report {
	r := gossip.Report{
		Router:        n.settings.Router,
		Incarnation:   n.incarnation,
		CallerAddress: n.settings.CallerListen,
		Domain:        n.settings.FailureDomain,
		Ready:         n.ready(),
		Queue:         n.admission.Waiting(),
	}
	if table := n.routing.Load(); table != nil {
		r.ConfigVersion = table.Version
	}
	if r.Totals, r.Owned = n.owners.totals(); !r.Owned {
		r.Loads = sortedLoads(n.admission.OwnLoads())
	}
	r.Teams = sortedUsage(n.admission.OwnUsage())
	own := n.measureLoad()
	r.Rate, r.Cores = float32(own.Rate), float32(own.Cores)
	r.Busy = n.lag.Busy()
	n.busy.Store(r.Busy)
	n.ownRate.Store(math.Float64bits(own.Rate))
	r.Parts = n.cachedPartsToReport()
	return r
}

// readyPeers returns the other routers that accept new clients.
func (n *Node) readyPeers() []gossip.Peer {
	return slices.DeleteFunc(n.peers.Live(time.Now()), func(p gossip.Peer) bool { return !p.Ready })
}

// measureLoad returns the router's load. It also decides whether to move clients to other routers, because this
// router's load is far above theirs.
func (n *Node) measureLoad() balance.Load {
	now := time.Now()
	requestCount := n.gateway.TotalRequests()
	n.rate.Add(now, float64(requestCount-n.lastRequestCount))
	n.lastRequestCount = requestCount
	own := balance.Load{Rate: n.rate.PerSecond(now), Cores: n.settings.Cores}
	var others []balance.Load
	if own.Rate > 0 {
		for _, p := range n.readyPeers() {
			others = append(others, balance.Load{Rate: float64(p.Rate), Cores: float64(p.Cores)})
		}
	}
	n.gateway.SetMoveClients(n.offload.Active() || balance.Overloaded(own, others))
	return own
}

// sortedLoads lists loads, those with the most pending tokens first.
func sortedLoads(loads map[string]engineload.Load) []reservation.ServerLoad {
	list := make([]reservation.ServerLoad, 0, len(loads))
	for id, l := range loads {
		list = append(list, reservation.ServerLoad{Server: id, Load: l})
	}
	slices.SortFunc(list, func(a, b reservation.ServerLoad) int {
		return cmp.Compare(b.Load.PendingTokens, a.Load.PendingTokens)
	})
	return list
}

// sortedUsage lists the usage of teams in the order in which a report that is too large drops them from the end: teams
// with waiting requests first, then those with the most demand. A waiting team with little service is the one for which
// the other routers must yield.
func sortedUsage(usage map[string]fairshare.Usage) []gossip.TeamUsage {
	list := make([]gossip.TeamUsage, 0, len(usage))
	for team, u := range usage {
		list = append(list, gossip.TeamUsage{
			Team: team, Served: float32(u.Served), Asked: float32(u.Asked), Waiting: u.Waiting,
		})
	}
	slices.SortFunc(list, func(a, b gossip.TeamUsage) int {
		return cmp.Or(compareWaiting(a, b), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Team, b.Team))
	})
	return list
}

// compareWaiting orders teams with waiting requests first.
func compareWaiting(a, b gossip.TeamUsage) int {
	switch {
	case a.Waiting == b.Waiting:
		return 0
	case a.Waiting:
		return -1
	default:
		return 1
	}
}

// handleReport handles a report of another router.
func (n *Node) handleReport(r *gossip.Report) {
	if r.Router == n.settings.Router || !n.peers.Update(time.Now(), r) {
		return
	}
	n.exchange.RecordReceived(r.Router, r.Seq)
	n.handleClaim(r)
	if r.Owned {
		n.owners.handleTotals(r.Router, r.Totals)
	} else {
		n.admission.SetPeerLoads(r.Router, r.LoadsByServer())
	}
	n.admission.SetPeerUsage(r.Router, r.UsageByTeam())
	if len(r.Parts) > 0 {
		n.admission.AddPeerCachedParts(reportedCachedParts(r))
	}
}

// maxNewPartsPerReport is the largest number of newly cached prompt parts in a report. Each part takes about ten bytes
// of a datagram.
const maxNewPartsPerReport = 40

// cachedPartsToReport returns newly cached prompt parts, and those of the last report again, because datagrams may be
// lost.
func (n *Node) cachedPartsToReport() []gossip.CachedParts {
	newParts := n.admission.TakeCachedParts(maxNewPartsPerReport)
	byServer := make(map[string][]uint64)
	for _, part := range append(n.lastCachedParts, newParts...) {
		byServer[part.Server] = append(byServer[part.Server], part.Part)
	}
	n.lastCachedParts = newParts
	list := make([]gossip.CachedParts, 0, len(byServer))
	for server, ids := range byServer {
		list = append(list, gossip.CachedParts{Server: server, IDs: ids})
	}
	return list
}

func reportedCachedParts(r *gossip.Report) []admission.CachedPart {
	var parts []admission.CachedPart
	for _, p := range r.Parts {
		for _, id := range p.IDs {
			parts = append(parts, admission.CachedPart{Server: p.Server, Part: id})
		}
	}
	return parts
}

// removeLostPeers drops the state of routers that no longer send reports.
func (n *Node) removeLostPeers() {
	for _, router := range n.peers.RemoveLost(time.Now()) {
		n.log.Info("router lost", zap.String("router", router))
		n.admission.ForgetPeer(router)
		n.exchange.Forget(router)
	}
}

// addFreshnessClaim adds this router's freshness claim to a report, unless no state of the store is confirmed.
func (n *Node) addFreshnessClaim(r *gossip.Report) {
	c, ok := n.exchange.Claim(n.proof, n.follower.Position)
	if !ok {
		return
	}
	// Rounded up, so that the claimed age is never below the real one.
	age := c.Age.Milliseconds() + 1
	r.Proof = &gossip.Proof{Revision: int64(c.Position.Revision), AgeMS: age, Echoes: c.Echoes}
	r.ProofEra = int64(c.Position.Era)
}

// handleClaim renews this router's proof of freshness from the claim of another router.
func (n *Node) handleClaim(r *gossip.Report) {
	p := r.Proof
	if p == nil || p.AgeMS < 0 {
		return
	}
	claim := freshness.Claim{Position: r.Position(), Age: time.Duration(p.AgeMS) * time.Millisecond, Echoes: p.Echoes}
	if at, ok := n.exchange.ConfirmationTime(claim); ok {
		n.follower.ConfirmPosition(claim.Position, at)
	}
}
