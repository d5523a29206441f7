package gateway

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/freshness"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverdrain"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// onServerLeaving is called when a response of a server says for the first time that it leaves. The owner of the server's
// load is told directly, since it may get no reports of this router.
func (n *Node) onServerLeaving(server *backends.Server) {
	n.closeIdleConnections()
	table := n.owners.loadTable()
	if table == nil {
		return
	}
	if address, ok := table.addresses[table.owner[server.ID]]; ok {
		n.send(reservation.DrainNotice{Router: n.settings.Router, Server: serverdrain.IncarnationOf(server)}, address)
	}
}

// handleDraining records the servers that another router knows to leave.
func (n *Node) handleDraining(router string, list []serverdrain.Incarnation) {
	if len(list) == 0 {
		return
	}
	for _, id := range n.admission.ReportDraining(router, list) {
		n.log.Info("backend server leaves", zap.String("server", id), zap.String("reported_by", router))
	}
}

// answerReservation returns the answer to another router's reservation request.
func (n *Node) answerReservation(r reservation.Request, from netip.AddrPort) any {
	if entry, limited := n.admission.LimitEntry(r.Server); limited && !n.owners.owns(r.Server) {
		// Two routers that both granted permits would exceed the limit.
		return reservation.PermitAnswer{ID: r.ID, RetryMS: notOwnerRetry.Milliseconds(), Limit: entry}
	}
	answer := n.admission.Reserve(r)
	server := n.servers.Load().Get(r.Server)
	switch {
	case answer.Draining && server != nil:
		return reservation.Denial{ID: r.ID, Router: n.settings.Router, Server: serverdrain.IncarnationOf(server)}
	case answer.Limited:
		n.owners.limits.recordInformed(from)
		return n.admission.LimitAnswer(r.Server, answer)
	default:
		return answer
	}
}

// idleConnectionPeriod is how often idle connections are checked.
const idleConnectionPeriod = time.Second

// closeIdleConnections closes the idle connections that will not be used again.
func (n *Node) closeIdleConnections() {
	set := n.servers.Load()
	n.pool.Retain(func(key string) bool {
		server := set.ByKey(key)
		return server != nil && !n.admission.Draining(server.ID)
	})
}

// suspension measures for how long the VM was suspended. Go's clock does not count that time.
type suspension struct {
	started time.Time
	// offset is the time of boot of the system's clock minus that of Go's clock at the last sample.
	offset time.Duration
}

// minSuspension is the shortest suspension that is told from the delay between reading the two clocks.
const minSuspension = 20 * time.Millisecond

func newSuspension() *suspension {
	s := &suspension{started: time.Now()}
	s.offset = freshness.BootTime()
	return s
}

// sample returns for how long the VM was suspended since the last call.
func (s *suspension) sample() time.Duration {
	return s.since(freshness.BootTime(), time.Since(s.started))
}

func (s *suspension) since(boot, elapsed time.Duration) time.Duration {
	suspended := boot - elapsed - s.offset
	if suspended < minSuspension {
		return 0
	}
	s.offset += suspended
	return suspended
}
