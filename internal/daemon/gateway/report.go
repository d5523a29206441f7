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
	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/periodic"
)

// report tells the other routers what this one does.
func (n *Node) report(ctx context.Context) {
	seq := n.incarnation // the numbers of an earlier process are lower
	var slept time.Time
	var period time.Duration
	var broadcastAt time.Time
	for ctx.Err() == nil {
		if !slept.IsZero() {
			n.lag.Observe(time.Since(slept) - period)
		}
		seq++
		all, active := n.targets()
		targets := active
		quiet := time.Since(broadcastAt) >= gossip.MaxPeriod
		if quiet {
			targets, broadcastAt = all, time.Now()
		}
		n.sendReport(seq, targets, quiet)
		n.dropLost()
		period = gossip.Period(len(active) + 1)
		slept = time.Now()
		periodic.Sleep(ctx, period)
	}
}

// targets are the addresses of the other routers, and of those among them that take requests. Only the latter need to
// know each change of the loads at once.
func (n *Node) targets() (all, active []netip.AddrPort) {
	routers := n.routers.Load()
	if routers == nil {
		return nil, nil
	}
	busy := make(map[string]bool)
	for _, p := range n.peers.Live(time.Now()) {
		busy[p.Router] = p.Rate > 0 || p.Queue > 0 || len(p.Loads) > 0
	}
	for id, r := range *routers {
		address, err := netip.ParseAddrPort(r.PeerAddress)
		if id == n.settings.Router || err != nil {
			continue
		}
		all = append(all, address)
		if busy[id] {
			active = append(active, address)
		}
	}
	return all, active
}

// sendReport sends a report, with a proof of what is known of the store when that is asked for.
func (n *Node) sendReport(seq uint64, targets []netip.AddrPort, withProof bool) {
	r := gossip.Report{
		Router:        n.settings.Router,
		Incarnation:   n.incarnation,
		Seq:           seq,
		CallerAddress: n.settings.CallerListen,
		Domain:        n.settings.FailureDomain,
		Ready:         n.ready(),
		Queue:         n.admission.Waiting(),
	}
	if r.Totals, r.Owned = n.owners.totals(); !r.Owned {
		r.Loads = loadsOf(n.admission.OwnLoads())
	}
	for team, p := range n.admission.OwnUsage() {
		r.Teams = append(r.Teams, gossip.TeamUsage{
			Team: team, Served: float32(p.Served), Asked: float32(p.Asked), Waiting: p.Waiting,
		})
	}
	slices.SortFunc(r.Teams, func(a, b gossip.TeamUsage) int { return cmp.Compare(b.Served, a.Served) })
	own := n.measureLoad()
	r.Rate, r.Cores = float32(own.Rate), float32(own.Cores)
	r.Busy = n.lag.Busy()
	n.busy.Store(r.Busy)
	n.ownRate.Store(math.Float64bits(own.Rate))
	r.Parts = n.partsKept()
	if withProof && len(targets) < directFleet {
		r.Proof = n.claim()
	}
	n.exchange.RecordSent(seq)
	n.send(&r, targets...)
}

// readyPeers returns the other routers that take clients.
func (n *Node) readyPeers() []gossip.Peer {
	return slices.DeleteFunc(n.peers.Live(time.Now()), func(p gossip.Peer) bool { return !p.Ready })
}

// measureLoad returns the router's load, and moves clients to other routers when it is far above theirs.
func (n *Node) measureLoad() balance.Load {
	now := time.Now()
	taken := n.gateway.TotalRequests()
	n.rate.Add(now, float64(taken-n.lastTaken))
	n.lastTaken = taken
	own := balance.Load{Rate: n.rate.PerSecond(now), Cores: n.settings.Cores}
	var others []balance.Load
	for _, p := range n.readyPeers() {
		others = append(others, balance.Load{Rate: float64(p.Rate), Cores: float64(p.Cores)})
	}
	n.gateway.SetMoveClients(balance.Overloaded(own, others))
	return own
}

// loadsOf lists loads, those with the most to read first.
func loadsOf(loads map[string]engineload.Load) []reservation.ServerLoad {
	list := make([]reservation.ServerLoad, 0, len(loads))
	for id, l := range loads {
		list = append(list, reservation.ServerLoad{Server: id, Load: l})
	}
	slices.SortFunc(list, func(a, b reservation.ServerLoad) int {
		return cmp.Compare(b.Load.PendingTokens, a.Load.PendingTokens)
	})
	return list
}

// takeReport takes a report of another router.
func (n *Node) takeReport(r *gossip.Report) {
	if r.Router == n.settings.Router || !n.peers.Update(time.Now(), r) {
		return
	}
	n.exchange.RecordReceived(r.Router, r.Seq)
	n.takeClaim(r.Proof)
	if r.Owned {
		n.owners.takeTotals(r.Router, r.Totals)
	} else {
		n.admission.SetPeerLoads(r.Router, r.LoadsByServer())
	}
	n.admission.SetPeerUsage(r.Router, r.UsageByTeam())
	if len(r.Parts) > 0 {
		n.admission.AddPeerCachedParts(notesOf(r))
	}
}

// notesPerReport is the number of notes on parts of prompts in a report; each takes about ten bytes of a datagram.
const notesPerReport = 40

// partsKept returns the news on parts of prompts, and those of the last report once more, since datagrams may be lost.
func (n *Node) partsKept() []gossip.CachedParts {
	notes := n.admission.TakeCachedParts(notesPerReport)
	byServer := make(map[string][]uint64)
	for _, note := range append(n.lastNotes, notes...) {
		byServer[note.Server] = append(byServer[note.Server], note.Part)
	}
	n.lastNotes = notes
	kept := make([]gossip.CachedParts, 0, len(byServer))
	for server, ids := range byServer {
		kept = append(kept, gossip.CachedParts{Server: server, IDs: ids})
	}
	return kept
}

func notesOf(r *gossip.Report) []admission.CachedPart {
	var notes []admission.CachedPart
	for _, p := range r.Parts {
		for _, id := range p.IDs {
			notes = append(notes, admission.CachedPart{Server: p.Server, Part: id})
		}
	}
	return notes
}

// dropLost forgets routers that fell silent.
func (n *Node) dropLost() {
	for _, router := range n.peers.RemoveLost(time.Now()) {
		n.log.Info("router lost", zap.String("router", router))
		n.admission.ForgetPeer(router)
		n.exchange.Forget(router)
	}
}

// claim returns what this router knows of the store, or nil.
func (n *Node) claim() *gossip.Proof {
	c, ok := n.exchange.Claim(n.proof, func() int64 { return int64(n.follower.Revision()) })
	if !ok {
		return nil
	}
	// Rounded up, so that the claim never says more than is known.
	age := c.Age.Milliseconds() + 1
	return &gossip.Proof{Revision: c.Revision, AgeMS: age, Echoes: c.Echoes}
}

// takeClaim renews the own proof by that of another router.
func (n *Node) takeClaim(p *gossip.Proof) {
	if p == nil || p.AgeMS < 0 {
		return
	}
	claim := freshness.Claim{Revision: p.Revision, Age: time.Duration(p.AgeMS) * time.Millisecond, Echoes: p.Echoes}
	if at, ok := n.exchange.ConfirmationTime(claim); ok {
		n.follower.ConfirmRevision(kv.Revision(p.Revision), at)
	}
}
