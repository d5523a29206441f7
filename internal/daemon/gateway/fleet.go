package gateway

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/balance"
	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
	"gooseberrytide.example/gooseberrytide/platform"
)

const (
	// registrationLease is the lifetime of a router's entry without renewal. Liveness is known from reports; the entry
	// only tells where to send them.
	registrationLease = 20 * time.Second
	// renewPeriod leaves time for two failed renewals.
	renewPeriod = 6 * time.Second
	// registerTimeout bounds one call.
	registerTimeout = 2 * time.Second
	// longestLifetime bounds how long clients keep addresses; a short one takes them off a leaving router soon.
	longestLifetime = 2 * time.Second
)

// register keeps the router's entry in the store.
func (n *Node) register(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	var lease kv.LeaseID
	for ctx.Err() == nil {
		err := n.keepRegistered(ctx, &lease)
		wait := renewPeriod
		if err != nil {
			n.log.Warn("registration failed", logfield.Error(err))
			wait = b.NextBackOff()
		} else {
			b.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	n.unregister(ctx, lease)
}

// keepRegistered renews the lease, or begins one and writes the entry.
func (n *Node) keepRegistered(ctx context.Context, lease *kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if *lease != 0 {
		err := n.store.Renew(ctx, *lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	*lease = 0
	id, _, err := n.store.Grant(ctx, registrationLease)
	if err != nil {
		return err
	}
	key, value, err := platform.EncodeRouter(discovery.Router{
		ID:          n.settings.Router,
		PeerAddress: netip.AddrPortFrom(n.settings.IP, uint16(n.settings.PeerPort)).String(),
		Incarnation: n.incarnation,
	})
	if err != nil {
		return err
	}
	if err := n.store.PutLeased(ctx, key, value, id); err != nil {
		return err
	}
	*lease = id
	return nil
}

// unregister removes the entry of a router that stops.
func (n *Node) unregister(ctx context.Context, lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Info("entry not removed, it ends with its lease", logfield.Error(err))
	}
}

// report tells the other routers what this one does.
func (n *Node) report(ctx context.Context) {
	var seq uint64
	var slept time.Time
	var period time.Duration
	var toldAll time.Time
	for ctx.Err() == nil {
		if !slept.IsZero() {
			n.lag.Observe(time.Since(slept) - period)
		}
		seq++
		all, active := n.targets()
		targets := active
		if quiet := time.Since(toldAll) >= gossip.QuietPeriod; quiet {
			targets, toldAll = all, time.Now()
		}
		n.sendReport(seq, targets)
		n.dropLost()
		period = gossip.Period(len(active) + 1)
		slept = time.Now()
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
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

func (n *Node) sendReport(seq uint64, targets []netip.AddrPort) {
	loads, teams, queued := n.admission.Own()
	r := gossip.Report{
		Router:        n.settings.Router,
		Incarnation:   n.incarnation,
		Seq:           seq,
		CallerAddress: n.settings.CallerListen,
		Domain:        n.settings.FailureDomain,
		Ready:         n.ready(),
		Queue:         queued,
	}
	for id, l := range loads {
		r.Loads = append(r.Loads, gossip.LoadPart{
			Server: id, Running: l.Running, PendingTokens: l.PendingTokens, ContextTokens: l.ContextTokens,
		})
	}
	slices.SortFunc(r.Loads, func(a, b gossip.LoadPart) int { return cmp.Compare(b.PendingTokens, a.PendingTokens) })
	for team, p := range teams {
		r.Teams = append(r.Teams, gossip.ServicePart{
			Team: team, Served: float32(p.Served), Asked: float32(p.Asked), Waiting: p.Waiting,
		})
	}
	slices.SortFunc(r.Teams, func(a, b gossip.ServicePart) int { return cmp.Compare(b.Served, a.Served) })
	own := n.measureLoad()
	r.Rate, r.Cores = float32(own.Rate), float32(own.Cores)
	r.Busy = n.lag.Busy()
	n.busy.Store(r.Busy)
	n.ownRate.Store(math.Float64bits(own.Rate))
	r.Parts = n.partsKept()
	data, err := r.Encode()
	if err != nil {
		n.log.Error("report not encoded", logfield.Error(err))
		return
	}
	for _, to := range targets {
		n.socket.Send(to, data)
	}
}

// measureLoad returns the router's load, and moves clients to other routers when it is far above theirs.
func (n *Node) measureLoad() balance.Load {
	now := time.Now()
	taken := n.gateway.Taken()
	n.rate.Add(now, float64(taken-n.lastTaken))
	n.lastTaken = taken
	own := balance.Load{Rate: n.rate.PerSecond(now), Cores: n.settings.Cores}
	var others []balance.Load
	for _, p := range n.peers.Live(now) {
		if p.Ready {
			others = append(others, balance.Load{Rate: float64(p.Rate), Cores: float64(p.Cores)})
		}
	}
	n.gateway.MoveClients(balance.Overloaded(own, others))
	return own
}

// onDatagram takes a report of another router.
func (n *Node) onDatagram(from netip.AddrPort, data []byte) {
	r, err := gossip.Decode(data)
	if err != nil {
		n.log.Warn("report not read", zap.Stringer("from", from), logfield.Error(err))
		return
	}
	if r.Router == n.settings.Router || !n.peers.Take(time.Now(), r) {
		return
	}
	n.admission.SetPeer(r.Router, r.LoadTable(), r.TeamTable())
	if len(r.Parts) > 0 {
		n.admission.SetPeerParts(notesOf(r))
	}
}

// notesPerReport is the number of notes on parts of prompts in a report; each takes about ten bytes of a datagram.
const notesPerReport = 40

// partsKept returns the news on parts of prompts, and those of the last report once more, since datagrams may be lost.
func (n *Node) partsKept() []gossip.PartsKept {
	news := n.admission.News(notesPerReport)
	byServer := make(map[string][]uint64)
	for _, note := range append(n.lastNews, news...) {
		byServer[note.Server] = append(byServer[note.Server], note.Part)
	}
	n.lastNews = news
	kept := make([]gossip.PartsKept, 0, len(byServer))
	for server, ids := range byServer {
		kept = append(kept, gossip.PartsKept{Server: server, IDs: ids})
	}
	return kept
}

func notesOf(r *gossip.Report) []admission.PartNote {
	var notes []admission.PartNote
	for _, p := range r.Parts {
		for _, id := range p.IDs {
			notes = append(notes, admission.PartNote{Server: p.Server, Part: id})
		}
	}
	return notes
}

// dropLost forgets routers that fell silent.
func (n *Node) dropLost() {
	for _, router := range n.peers.Lost(time.Now()) {
		n.log.Info("router lost", zap.String("router", router))
		n.admission.ForgetPeer(router)
	}
}

// addressLifetime is how long clients may keep an answer of the directory.
func (n *Node) addressLifetime() time.Duration {
	return min(longestLifetime, n.settings.Bounds.MaxAddressLifetime)
}

// maxAddresses is the number of addresses of an answer that clients use.
const maxAddresses = 64

// addresses returns routers for a client in a failure domain.
func (n *Node) addresses(domain string) []string {
	var candidates []balance.Candidate
	if n.ready() {
		candidates = append(candidates, balance.Candidate{
			Router: n.settings.Router, Address: n.settings.CallerListen, Near: n.settings.FailureDomain == domain,
			Busy: n.busy.Load(), Cores: n.settings.Cores, Rate: math.Float64frombits(n.ownRate.Load()),
		})
	}
	for _, p := range n.peers.Live(time.Now()) {
		if p.Ready && p.CallerAddress != "" {
			candidates = append(candidates, balance.Candidate{
				Router: p.Router, Address: p.CallerAddress, Near: p.Domain == domain, Busy: p.Busy,
				Cores: float64(p.Cores), Rate: float64(p.Rate),
			})
		}
	}
	list := balance.Choose(candidates)
	return list[:min(len(list), maxAddresses)]
}
