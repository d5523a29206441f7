package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/protocol/datagrams"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

const (
	// flushPeriod is how often changed loads are told to the keepers. It is well below the time in which an engine reads
	// a prompt.
	flushPeriod = 10 * time.Millisecond
	// chooseEvery and repeatEvery are the numbers of flushes after which keepers are chosen anew, and after which all loads
	// are told again, since datagrams may be lost.
	chooseEvery = 10
	repeatEvery = 40
)

// keepers implements admission.Keepers: it knows which router keeps the load of which server, and sends the messages.
type keepers struct {
	node  *Node
	asks  *reservation.Asks
	table atomic.Pointer[keeperTable]
	// flushes counts the flushes. Only the flushing goroutine uses it.
	flushes int
}

// keeperTable is a choice of keepers. It is not modified.
type keeperTable struct {
	servers    *backends.Set
	candidates []reservation.Candidate
	// keeper names the router that keeps a server's load.
	keeper    map[string]string
	addresses map[string]netip.AddrPort
	// kept are the servers whose loads this router keeps.
	kept []string
}

var _ admission.Keepers = (*keepers)(nil)

// Reserve implements admission.Keepers.
func (k *keepers) Reserve(ctx context.Context, r reservation.Request) (reservation.Answer, bool) {
	table := k.table.Load()
	if table == nil {
		return reservation.Answer{}, false
	}
	keeper := table.keeper[r.Server]
	address, ok := table.addresses[keeper]
	if !ok {
		return reservation.Answer{}, false
	}
	return k.asks.Ask(ctx, keeper, func(id uint64) {
		r.ID, r.Router = id, k.node.settings.Router
		k.node.send(address, r)
	})
}

// flush tells the keepers what changed.
func (k *keepers) flush() {
	chosen := k.flushes%chooseEvery == 0 && k.choose()
	all := chosen || k.flushes%repeatEvery == 0
	k.flushes++
	table := k.table.Load()
	if table == nil {
		return
	}
	for _, wake := range k.node.admission.Wakes() {
		if address, ok := table.addresses[wake.Router]; ok {
			k.node.send(address, wake.Room)
		}
	}
	changed := k.node.admission.TakeChanged()
	if all {
		for server, l := range k.node.admission.OwnLoads() {
			changed = append(changed, reservation.ServerLoad{Server: server, Load: l})
		}
	}
	byKeeper := make(map[string][]reservation.ServerLoad)
	for _, l := range changed {
		keeper := table.keeper[l.Server]
		byKeeper[keeper] = append(byKeeper[keeper], l)
	}
	for keeper, parts := range byKeeper {
		if address, ok := table.addresses[keeper]; ok {
			k.node.send(address, reservation.Loads{Router: k.node.settings.Router, Parts: parts})
		}
	}
}

// choose names the keepers anew when routers or servers have changed. It reports whether it did.
func (k *keepers) choose() bool {
	candidates := k.candidates()
	servers := k.node.servers.Load()
	former := k.table.Load()
	if len(candidates) <= directFleet {
		k.table.Store(nil)
		return false
	}
	if former != nil && former.servers == servers && slices.Equal(former.candidates, candidates) {
		return false
	}
	table := k.newTable(servers, candidates)
	var adopted []string
	for _, server := range table.kept {
		if former == nil || former.keeper[server] != k.node.settings.Router {
			adopted = append(adopted, server)
		}
	}
	k.node.admission.Adopt(adopted)
	k.table.Store(table)
	return true
}

// candidates are the routers that take requests.
func (k *keepers) candidates() []reservation.Candidate {
	n := k.node
	var list []reservation.Candidate
	if n.ready() {
		list = append(list, reservation.Candidate{
			Router: n.settings.Router, Domain: n.settings.FailureDomain, Cores: float64(float32(n.settings.Cores)),
		})
	}
	for _, p := range n.peers.Live(time.Now()) {
		if p.Ready {
			list = append(list, reservation.Candidate{Router: p.Router, Domain: p.Domain, Cores: float64(p.Cores)})
		}
	}
	return list
}

func (k *keepers) newTable(servers *backends.Set, candidates []reservation.Candidate) *keeperTable {
	domains := make(map[string]string, servers.Len())
	for id, server := range servers.All() {
		domains[id] = server.FailureDomain
	}
	table := &keeperTable{
		servers: servers, candidates: candidates,
		keeper: reservation.Keepers(domains, candidates), addresses: make(map[string]netip.AddrPort),
	}
	registered := k.node.routers.Load()
	for _, c := range candidates {
		if registered == nil || c.Router == k.node.settings.Router {
			continue
		}
		if address, err := netip.ParseAddrPort((*registered)[c.Router].PeerAddress); err == nil {
			table.addresses[c.Router] = address
		}
	}
	for server, keeper := range table.keeper {
		if keeper == k.node.settings.Router {
			table.kept = append(table.kept, server)
		}
	}
	slices.Sort(table.kept)
	return table
}

// totals returns the loads of the servers that this router keeps. It is false in a fleet without keepers.
func (k *keepers) totals() ([]reservation.ServerLoad, bool) {
	table := k.table.Load()
	if table == nil {
		return nil, false
	}
	return k.node.admission.Totals(table.kept), true
}

// takeTotals takes what a keeper tells of its servers.
func (k *keepers) takeTotals(router string, totals []reservation.ServerLoad) {
	table := k.table.Load()
	if table == nil {
		return
	}
	k.node.admission.SetTotals(slices.DeleteFunc(totals, func(l reservation.ServerLoad) bool {
		return table.keeper[l.Server] != router
	}))
}

// send sends a message to another router.
func (n *Node) send(to netip.AddrPort, message any) {
	data, err := datagrams.Encode(message)
	if err != nil {
		n.log.Error("message not encoded", logfield.Error(err))
		return
	}
	n.socket.Send(to, data)
}

// onDatagram takes a message of another router.
func (n *Node) onDatagram(from netip.AddrPort, data []byte) {
	message, err := datagrams.Decode(data)
	if err != nil {
		n.log.Warn("message not read", zap.Stringer("from", from), logfield.Error(err))
		return
	}
	switch m := message.(type) {
	case *gossip.Report:
		n.takeReport(m)
	case reservation.Request:
		n.send(from, n.admission.Reserve(m))
	case reservation.Answer:
		n.keepers.asks.Settle(m)
	case reservation.Room:
		n.admission.TakeRoom(m)
	case reservation.Loads:
		n.admission.SetKeptLoads(m.Router, m.Parts)
	}
}
