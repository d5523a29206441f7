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

// storeWatchers is the number of routers that watch the store.
const storeWatchers = 3

// quorumWindow is the age up to which the answers of a majority count for a publish.
const quorumWindow = 4 * time.Second

// linkSender implements dispatch.Sender over the links to other routers.
type linkSender struct {
	network *peerlink.Network
}

// Send implements dispatch.Sender.
func (s linkSender) Send(to ident.RouterID, m message.Message) {
	s.network.Send(to, peer.NewEnvelope(m))
}

// resolve returns the peer address of a router.
func (d *Daemon) resolve(id ident.RouterID) (string, bool) {
	if !d.composed.Load() {
		return "", false
	}
	return d.view().PeerAddr(id)
}

// onMessage handles a message from another router.
func (d *Daemon) onMessage(from peer.Endpoint, e peer.Envelope) {
	if !d.composed.Load() {
		return
	}
	if e.Membership != nil {
		d.onMembershipPacket(from.Router, *e.Membership)
		return
	}
	if m := e.Message(); m != nil {
		d.router.Handle(from.Router, m)
	}
}

// onMembershipPacket passes a packet to the failure detector and records the generation that the peer announces.
func (d *Daemon) onMembershipPacket(from ident.RouterID, p membership.Packet) {
	// The generation is recorded first: a router that reaches a majority again after a partition must know at once that
	// its configuration is outdated.
	d.syncer.RecordPeerGeneration(from, p.From.Generation)
	d.detectorMu.Lock()
	replies := d.detector.Receive(d.now(), from, p)
	d.detectorMu.Unlock()
	d.sendPackets(replies)
}

func (d *Daemon) sendPackets(packets []membership.Outbound) {
	for _, out := range packets {
		d.network.Send(out.To, peer.Envelope{Membership: &out.Packet})
	}
}

// onLink handles a change of a link's state. When a link comes up, it resends what the peer may have missed; when a
// link breaks, it probes the peer.
func (d *Daemon) onLink(id ident.RouterID, _ ident.Incarnation, up bool) {
	if !d.composed.Load() {
		return
	}
	if up {
		d.router.Ingress().LinkUp(id)
		return
	}
	// A broken link is often the first sign of a crash.
	d.detectorMu.Lock()
	out := d.detector.Probe(d.now(), id)
	d.detectorMu.Unlock()
	d.sendPackets(out)
}

// majority reports whether the VM list was read and a majority of its VMs answered within quorumWindow.
func (d *Daemon) majority() bool {
	return d.vmListRead.Load() && d.view().HasMajority(d.now(), quorumWindow)
}

// watchesStore reports whether this router is one of those that watch the store.
func (d *Daemon) watchesStore() bool {
	return d.isTopRanked(publish.HeadKey, storeWatchers)
}

// isTopRanked reports whether this router is among the first n live routers in the rendezvous ranking for a key.
func (d *Daemon) isTopRanked(key string, n int) bool {
	var live []ident.RouterID
	for _, m := range d.view().Live() {
		live = append(live, m.ID)
	}
	return slices.Contains(ownership.Top(key, live, n), ident.RouterID(d.settings.ID))
}

// publishPeers implements publish.Peers.
type publishPeers struct {
	d *Daemon
}

// Live implements publish.Peers.
func (p publishPeers) Live() []ident.RouterID {
	var list []ident.RouterID
	for _, m := range p.d.view().Live() {
		if m.ID != ident.RouterID(p.d.settings.ID) {
			list = append(list, m.ID)
		}
	}
	return list
}

// Listed implements publish.Peers.
func (p publishPeers) Listed() int {
	if !p.d.vmListRead.Load() {
		return 0
	}
	return p.d.view().VoterCount()
}

// HeardSince implements publish.Peers.
func (p publishPeers) HeardSince(window time.Duration) int {
	return p.d.view().ConfiguredWithin(p.d.now(), window)
}

// AtGeneration implements publish.Peers.
func (p publishPeers) AtGeneration(generation ident.Generation) int {
	return p.d.view().AtGeneration(p.d.now(), generation)
}

// Pull implements publish.Peers.
func (p publishPeers) Pull(
	ctx context.Context, from ident.RouterID, req publish.PullRequest,
) (publish.PullResponse, error) {
	var resp publish.PullResponse
	err := p.d.network.Call(ctx, from, peer.MethodConfigPull, req, &resp)
	return resp, err
}

// rpcMethods returns the handlers of the JSON-RPC methods that other routers call.
func (d *Daemon) rpcMethods() map[string]peerlink.Method {
	return map[string]peerlink.Method{
		peer.MethodConfigPull: d.serveConfigPull,
		peer.MethodTimeline:   d.serveTimeline,
	}
}

func (d *Daemon) serveConfigPull(_ context.Context, _ peer.Endpoint, params json.RawMessage) (any, error) {
	if !d.composed.Load() {
		return nil, errNotServing
	}
	var req publish.PullRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "config.pull: params")
	}
	return d.syncer.HandlePull(req)
}
