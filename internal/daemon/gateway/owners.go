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
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/protocol/datagrams"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/state/logfield"
)

const (
	// flushPeriod is how often changed loads are told to the owners. It is well below the time in which an engine reads
	// a prompt.
	flushPeriod = 10 * time.Millisecond
	// chooseEvery and repeatEvery are the numbers of flushes after which owners are chosen anew, and after which all loads
	// are told again, since datagrams may be lost.
	chooseEvery = 10
	repeatEvery = 40
)

// newOwners returns a node's owners, with a metric in its registry.
func newOwners(n *Node) *owners {
	outcomes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_reservations_total",
		Help: "Places asked of the routers that own the loads of servers, by outcome: granted, full, unanswered.",
	}, []string{"outcome"})
	n.registry.MustRegister(outcomes)
	return &owners{node: n, asks: reservation.NewPendingRequests(), outcomes: outcomes}
}

// owners implements admission.Owners: it knows which router owns the load of which server, and sends the messages.
type owners struct {
	node  *Node
	asks  *reservation.PendingRequests
	table atomic.Pointer[ownerTable]
	// outcomes counts the questions by their outcomes.
	outcomes *prometheus.CounterVec
	// flushes counts the flushes. Only the flushing goroutine uses it.
	flushes int
}

// ownerTable is a choice of owners. It is not modified.
type ownerTable struct {
	servers    *backends.Set
	candidates []reservation.Candidate
	// owner names the router that owns a server's load.
	owner     map[string]string
	addresses map[string]netip.AddrPort
	// owned are the servers whose loads this router owns.
	owned []string
}

var _ admission.Owners = (*owners)(nil)

// Reserve implements admission.Owners.
func (o *owners) Reserve(ctx context.Context, r reservation.Request) (reservation.Answer, bool) {
	table := o.table.Load()
	if table == nil {
		return reservation.Answer{}, false
	}
	owner := table.owner[r.Server]
	address, ok := table.addresses[owner]
	if !ok {
		return reservation.Answer{}, false
	}
	answer, ok := o.asks.Call(ctx, owner, func(id uint64) {
		r.ID, r.Router = id, o.node.settings.Router
		o.node.send(r, address)
	})
	o.outcomes.WithLabelValues(outcomeOf(answer, ok)).Inc()
	return answer, ok
}

// outcomeOf names the outcome of a question in the metrics.
func outcomeOf(a reservation.Answer, answered bool) string {
	switch {
	case !answered:
		return "unanswered"
	case a.Granted:
		return "granted"
	default:
		return "full"
	}
}

// flush tells the owners what changed.
func (o *owners) flush() {
	chosen := o.flushes%chooseEvery == 0 && o.choose()
	all := chosen || o.flushes%repeatEvery == 0
	o.flushes++
	table := o.table.Load()
	if table == nil {
		return
	}
	for _, wake := range o.node.admission.TakeNotifications() {
		if address, ok := table.addresses[wake.Router]; ok {
			o.node.send(wake.Room, address)
		}
	}
	changed := o.node.admission.TakeChanged()
	if all {
		for server, l := range o.node.admission.OwnLoads() {
			changed = append(changed, reservation.ServerLoad{Server: server, Load: l})
		}
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

// choose names the owners anew when routers or servers have changed. It reports whether it did.
func (o *owners) choose() bool {
	candidates := o.candidates()
	servers := o.node.servers.Load()
	former := o.table.Load()
	if len(candidates) <= directFleet {
		o.table.Store(nil)
		return false
	}
	if former != nil && former.servers == servers && slices.Equal(former.candidates, candidates) {
		return false
	}
	table := o.newTable(servers, candidates)
	var adopted []string
	for _, server := range table.owned {
		if former == nil || former.owner[server] != o.node.settings.Router {
			adopted = append(adopted, server)
		}
	}
	o.node.admission.Adopt(adopted)
	o.node.log.Debug("owners chosen", zap.Int("candidates", len(candidates)), zap.Int("owned", len(table.owned)))
	o.table.Store(table)
	return true
}

// candidates are the routers that take requests.
func (o *owners) candidates() []reservation.Candidate {
	n := o.node
	var list []reservation.Candidate
	if n.ready() {
		list = append(list, reservation.Candidate{
			Router: n.settings.Router, Domain: n.settings.FailureDomain,
			Cores: float64(float32(n.settings.Cores)), // as the others know it from reports
		})
	}
	for _, p := range n.readyPeers() {
		list = append(list, reservation.Candidate{Router: p.Router, Domain: p.Domain, Cores: float64(p.Cores)})
	}
	return list
}

func (o *owners) newTable(servers *backends.Set, candidates []reservation.Candidate) *ownerTable {
	domains := make(map[string]string, servers.Len())
	for id, server := range servers.All() {
		domains[id] = server.FailureDomain
	}
	table := &ownerTable{
		servers: servers, candidates: candidates,
		owner: reservation.Owners(domains, candidates), addresses: make(map[string]netip.AddrPort),
	}
	registered := o.node.routers.Load()
	for _, c := range candidates {
		if registered == nil || c.Router == o.node.settings.Router {
			continue
		}
		if address, err := netip.ParseAddrPort((*registered)[c.Router].PeerAddress); err == nil {
			table.addresses[c.Router] = address
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

// totals returns the loads of the servers that this router owns. It is false in a fleet without owners.
func (o *owners) totals() ([]reservation.ServerLoad, bool) {
	table := o.table.Load()
	if table == nil {
		return nil, false
	}
	return o.node.admission.Totals(table.owned), true
}

// takeTotals takes what an owner tells of its servers.
func (o *owners) takeTotals(router string, totals []reservation.ServerLoad) {
	table := o.table.Load()
	if table == nil {
		return
	}
	o.node.admission.SetTotals(slices.DeleteFunc(totals, func(l reservation.ServerLoad) bool {
		return table.owner[l.Server] != router
	}))
}

// send sends a message to other routers.
func (n *Node) send(message any, to ...netip.AddrPort) {
	data, err := datagrams.Encode(message)
	if err != nil {
		n.log.Error("message not encoded", logfield.Error(err))
		return
	}
	for _, address := range to {
		n.socket.Send(address, data)
	}
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
		n.send(n.admission.Reserve(m), from)
	case reservation.Answer:
		n.owners.asks.Resolve(m)
	case reservation.CapacityNotice:
		n.admission.HandleCapacityNotice(m)
	case reservation.Loads:
		n.admission.SetOwnedLoads(m.Router, m.Parts)
	}
}
