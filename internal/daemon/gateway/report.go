package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/engineload"
	"gooseberrytide.example/gooseberrytide/internal/coordination/fairshare"
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
)

// newReport returns a report of this router's state without a sequence number.
func (n *Node) newReport() gossip.Report {
	r := gossip.Report{
		Router:        n.settings.Router,
		Incarnation:   n.incarnation,
		CallerAddress: n.settings.CallerListen,
		Domain:        n.settings.FailureDomain,
		Ready:         n.ready(),
		Queue:         n.admission.Waiting(),
		ConfirmedEra:  int64(n.follower.ConfirmedEra()),
		KnowsYielding: true,
	}
	if table := n.routing.Load(); table != nil {
		r.ConfigVersion = table.Version
	}
	r.StoreContact = n.storeContact()
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
	r.Draining = n.admission.ReceivedDraining()
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
	n.handleStoreContact(r.StoreContact)
	if r.Owned {
		n.owners.handleTotals(r.Router, r.Totals)
	} else {
		n.admission.SetPeerLoads(r.Router, r.LoadsByServer())
	}
	n.admission.SetPeerUsage(r.Router, r.UsageByTeam())
	n.handleDraining(r.Router, r.Draining)
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
	repeated := n.lastCachedParts
	n.lastCachedParts = newParts
	return groupCachedParts(slices.Concat(repeated, newParts))
}

// groupCachedParts groups cached prompt parts by server.
func groupCachedParts(parts []admission.CachedPart) []gossip.CachedParts {
	byServer := make(map[string][]uint64)
	for _, part := range parts {
		byServer[part.Server] = append(byServer[part.Server], part.Part)
	}
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

// storeContact returns this router's contact with the store for a report, or nil if there is none. The ages are rounded so that
// less is stated than there was.
func (n *Node) storeContact() *gossip.StoreContact {
	c, ok := n.follower.Contact()
	if !ok {
		return nil
	}
	return &gossip.StoreContact{BeganMS: c.Began.Milliseconds(), AnsweredMS: c.Answered.Milliseconds() + 1}
}

// handleStoreContact handles another router's statement about its contact with the store.
func (n *Node) handleStoreContact(c *gossip.StoreContact) {
	if c == nil || c.BeganMS < 0 || c.AnsweredMS < 0 {
		return
	}
	n.follower.HearContact(discovery.Contact{
		Began:    time.Duration(c.BeganMS) * time.Millisecond,
		Answered: time.Duration(c.AnsweredMS) * time.Millisecond,
	})
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
