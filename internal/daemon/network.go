package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/coordination/ownership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/transport/peerlink"
)

// watchers is the number of routers that watch the store.
const watchers = 3

// quorumWindow is how recently a majority must have been heard for a publish.
const quorumWindow = 4 * time.Second

// remote sends messages of the dispatch package over links.
type remote struct {
	network *peerlink.Network
}

// Send implements dispatch.Sender.
func (r remote) Send(to ident.RouterID, m message.Message) {
	r.network.Send(to, peer.NewEnvelope(m))
}

// resolve returns the peer address of a router.
func (d *Daemon) resolve(id ident.RouterID) (string, bool) {
	if !d.composed.Load() {
		return "", false
	}
	return d.view().PeerAddr(id)
}

// onMessage takes a message from a link.
func (d *Daemon) onMessage(from peer.Endpoint, e peer.Envelope) {
	if !d.composed.Load() {
		return
	}
	if e.Membership != nil {
		d.onPacket(from.Router, *e.Membership)
		return
	}
	if m := e.Message(); m != nil {
		d.router.Handle(from.Router, m)
	}
}

// onPacket passes a packet to the failure detector and notes the announced generations.
func (d *Daemon) onPacket(from ident.RouterID, p membership.Packet) {
	// The generation comes first: a router that hears a majority again after a partition must know at once that its
	// configuration is old.
	d.syncer.RecordPeerGeneration(from, p.From.Generation)
	d.detection.Lock()
	answers := d.detector.Receive(d.now(), from, p)
	d.detection.Unlock()
	d.sendPackets(answers)
}

func (d *Daemon) sendPackets(list []membership.Outbound) {
	for _, out := range list {
		d.network.Send(out.To, peer.Envelope{Membership: &out.Packet})
	}
}

// onLink sends again what the peer may have missed while the link was down, and probes a peer whose link broke.
func (d *Daemon) onLink(id ident.RouterID, _ ident.Incarnation, up bool) {
	if !d.composed.Load() {
		return
	}
	if up {
		d.router.Ingress().LinkUp(id)
		return
	}
	// A broken link is often the first sign of a crash.
	d.detection.Lock()
	out := d.detector.Probe(d.now(), id)
	d.detection.Unlock()
	d.sendPackets(out)
}

// majority reports whether a majority of the listed VMs was heard recently.
func (d *Daemon) majority() bool {
	return d.listRead.Load() && d.view().HasMajority(d.now(), quorumWindow)
}

// watches reports whether this router is one of those that watch the store.
func (d *Daemon) watches() bool {
	return d.ranked(publish.HeadKey, watchers)
}

// ranked reports whether this router is among the n best of the live routers for a key.
func (d *Daemon) ranked(key string, n int) bool {
	var live []ident.RouterID
	for _, m := range d.view().Live() {
		live = append(live, m.ID)
	}
	return slices.Contains(ownership.Top(key, live, n), ident.RouterID(d.settings.ID))
}

// peers are the other routers, for the configuration.
type peers struct {
	d *Daemon
}

// Live implements publish.Peers.
func (p peers) Live() []ident.RouterID {
	var list []ident.RouterID
	for _, m := range p.d.view().Live() {
		if m.ID != ident.RouterID(p.d.settings.ID) {
			list = append(list, m.ID)
		}
	}
	return list
}

// Listed implements publish.Peers.
func (p peers) Listed() int {
	if !p.d.listRead.Load() {
		return 0
	}
	return p.d.view().VoterCount()
}

// HeardSince implements publish.Peers.
func (p peers) HeardSince(window time.Duration) int {
	return p.d.view().ConfiguredWithin(p.d.now(), window)
}

// AtGeneration implements publish.Peers.
func (p peers) AtGeneration(generation ident.Generation) int {
	return p.d.view().AtGeneration(p.d.now(), generation)
}

// Pull implements publish.Peers.
func (p peers) Pull(ctx context.Context, from ident.RouterID, req publish.PullRequest) (publish.PullResponse, error) {
	var resp publish.PullResponse
	err := p.d.network.Call(ctx, from, peer.MethodConfigPull, req, &resp)
	return resp, err
}

// methods are the JSON-RPC methods that other routers call.
func (d *Daemon) methods() map[string]peerlink.Method {
	return map[string]peerlink.Method{
		peer.MethodConfigPull: d.servePull,
		peer.MethodTimeline:   d.serveTimeline,
	}
}

func (d *Daemon) servePull(_ context.Context, _ peer.Endpoint, params json.RawMessage) (any, error) {
	if !d.composed.Load() {
		return nil, errNotServing
	}
	var req publish.PullRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "config.pull: params")
	}
	return d.syncer.HandlePull(req)
}
