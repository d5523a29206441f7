package gateway

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/warmup"
)

// newWarmupMetrics registers the gauge of cold servers and the counter of changes, which it returns.
func newWarmupMetrics(n *Node) *prometheus.CounterVec {
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrytide_cold_servers", Help: "Backend servers that are cold, as this router knows.",
	}, func() float64 { return float64(len(n.admission.Warmups())) }))
	changes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrytide_warmup_changes_total",
		Help: "Starts, extensions and ends of warm-ups of backend servers that this router has learned of, by source.",
	}, []string{"change", "source"})
	n.registry.MustRegister(changes)
	return changes
}

// recordWarmups logs and counts the changes of warm-ups since the last call. The owner of a server is told of what only this
// router knows, and tells the others. table may be nil.
func (e *limitExchange) recordWarmups(table *ownerTable) {
	for _, c := range e.node.admission.TakeWarmupChanges() {
		e.recordWarmup(c)
		owner, address, ok := table.ownerOf(c.Server.ID)
		switch {
		case !ok || c.Left == 0:
		case owner == e.node.settings.Router:
			e.markChanged(c.Server.ID)
		case c.Own:
			e.sendWarmups([]string{c.Server.ID}, address)
		}
	}
}

func (e *limitExchange) recordWarmup(c warmup.Change) {
	change := "extended"
	switch {
	case c.Started:
		change = "started"
	case c.Left == 0:
		change = "ended"
	}
	e.warmupChanges.WithLabelValues(change, c.Source.String()).Inc()
	level := zap.InfoLevel
	if change == "extended" {
		level = zap.DebugLevel // each refused connection extends it
	}
	e.node.log.Log(level, "backend server warm-up "+change, zap.String("server", c.Server.ID), zap.Stringer("source", c.Source),
		zap.Duration("left", c.Left))
}

// sendWarmups sends what is known of the warm-ups of servers to other routers.
func (e *limitExchange) sendWarmups(servers []string, to ...netip.AddrPort) {
	e.sendReports(e.node.admission.WarmupReports(servers), to...)
}

func (e *limitExchange) sendReports(reports []warmup.Report, to ...netip.AddrPort) {
	for _, notice := range reservation.SplitWarmups(e.node.settings.Router, reports) {
		e.node.send(notice, to...)
	}
}

// notifyNewOwners sends the warm-ups of cold servers to their new owners. The earlier owner may have ended. previous may
// be nil.
func (e *limitExchange) notifyNewOwners(previous, table *ownerTable) {
	for _, w := range e.node.admission.Warmups() {
		owner, address, ok := table.ownerOf(w.Server)
		if ok && owner != e.node.settings.Router && (previous == nil || previous.owner[w.Server] != owner) {
			e.sendWarmups([]string{w.Server}, address)
		}
	}
}

// handleWarmups handles what another router says about warm-ups.
func (e *limitExchange) handleWarmups(m reservation.WarmupNotice, from netip.AddrPort) {
	e.recordInformed(from)
	e.node.admission.MergeWarmups(m.Warmups)
}
