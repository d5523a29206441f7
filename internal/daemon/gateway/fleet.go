package gateway

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
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
	for ctx.Err() == nil {
		seq++
		targets := n.targets()
		n.sendReport(seq, targets)
		n.dropLost()
		select {
		case <-ctx.Done():
		case <-time.After(gossip.Period(len(targets) + 1)):
		}
	}
}

// targets are the addresses of the other routers.
func (n *Node) targets() []netip.AddrPort {
	routers := n.routers.Load()
	if routers == nil {
		return nil
	}
	var list []netip.AddrPort
	for id, r := range *routers {
		address, err := netip.ParseAddrPort(r.PeerAddress)
		if id == n.settings.Router || err != nil {
			continue
		}
		list = append(list, address)
	}
	return list
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

// addresses returns the routers that take clients, those in the client's failure domain first.
func (n *Node) addresses(domain string) []string {
	var near, far []string
	add := func(address, itsDomain string) {
		if itsDomain == domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	if n.ready() {
		add(n.settings.CallerListen, n.settings.FailureDomain)
	}
	for _, p := range n.peers.Live(time.Now()) {
		if p.Ready && p.CallerAddress != "" {
			add(p.CallerAddress, p.Domain)
		}
	}
	return append(near, far...)
}
