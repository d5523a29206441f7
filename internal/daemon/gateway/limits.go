package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
	"gooseberrytide.example/gooseberrytide/internal/coordination/reservation"
	"gooseberrytide.example/gooseberrytide/internal/coordination/serverlimit"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

const (
	// limitResendPeriod is how often the owner of a server sends the server's limit to the other routers again, for those
	// that have started or missed a message.
	limitResendPeriod = time.Second
	// informedTime is how long a router that knows of a limit is told of its changes although it gets few requests.
	informedTime = time.Minute
	// endedResendTime is how long the end of a limit is sent again.
	endedResendTime = 3 * time.Second
	// uncertainTime is how long a router that is no longer heard from may still send requests. After it the router has
	// ended, or refuses requests because it does not reach the store either. If its entry in the store outlives its
	// lease, it runs.
	uncertainTime = 5 * time.Second
)

// limitExchange tells other routers what backend servers say about their limits of requests a second, and exchanges
// permits with them. The owner of a server's load also grants the permits for the server, and tells the others of its
// limit.
type limitExchange struct {
	node   *Node
	owners *loadOwners
	// lastResend is used by the flushing goroutine only.
	lastResend time.Time

	// warmupChanges counts the starts, extensions and ends of warm-ups by source.
	warmupChanges *prometheus.CounterVec

	mu sync.Mutex
	// changed holds the servers owned by this router whose limits have changed since the last flush.
	changed map[string]struct{}
	// informed holds the routers that this router has told of a limit in an answer, or was told of one by, with the time.
	informed map[netip.AddrPort]time.Time
}

func newLimitExchange(n *Node, owners *loadOwners) *limitExchange {
	e := &limitExchange{node: n, owners: owners, changed: make(map[string]struct{}), informed: make(map[netip.AddrPort]time.Time)}
	e.registerMetrics(n.registry)
	e.warmupChanges = newWarmupMetrics(n)
	return e
}

// registerMetrics registers the counters of permits and the gauge of limits.
func (e *limitExchange) registerMetrics(registry prometheus.Registerer) {
	outcomes := map[string]func(admission.PermitCounts) int64{
		"granted":    func(c admission.PermitCounts) int64 { return c.Granted },
		"denied":     func(c admission.PermitCounts) int64 { return c.Denied },
		"unanswered": func(c admission.PermitCounts) int64 { return c.Unanswered },
		"lapsed":     func(c admission.PermitCounts) int64 { return c.Lapsed },
		"returned":   func(c admission.PermitCounts) int64 { return c.Returned },
	}
	for outcome, count := range outcomes {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "gooseberrytide_permits_total",
			Help:        "Permits asked for to send requests to backend servers with a limit, by what became of them.",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}, func() float64 { return float64(count(e.node.admission.PermitCounts())) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrytide_limited_servers", Help: "Backend servers that name a limit of requests a second.",
	}, func() float64 { return float64(len(e.node.admission.Limits())) }))
}

// onServerLimit is called when a response to this router has changed the limit of a server.
func (e *limitExchange) onServerLimit(server *backends.Server) {
	owner, address, ok := e.owners.table.Load().ownerOf(server.ID)
	switch {
	case !ok:
	case owner == e.node.settings.Router:
		e.markChanged(server.ID)
	default:
		e.send(e.node.admission.LimitEntries([]string{server.ID}), address)
	}
}

// markChanged makes the next flush tell the other routers of a server's limit.
func (e *limitExchange) markChanged(server string) {
	e.mu.Lock()
	e.changed[server] = struct{}{}
	e.mu.Unlock()
	e.owners.wake()
}

// takeChanged returns the servers that were marked as changed since the last call.
func (e *limitExchange) takeChanged() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	servers := make([]string, 0, len(e.changed))
	for server := range e.changed {
		servers = append(servers, server)
	}
	clear(e.changed)
	return servers
}

// flush gives unused permits back, and tells the other routers of changed limits and warm-ups. If it is due, it sends all
// those of the servers that this router owns.
func (e *limitExchange) flush(now time.Time) {
	if !e.node.admission.AnyLimits() {
		return
	}
	table := e.owners.table.Load()
	for _, r := range e.node.admission.TakeReturns() {
		if table == nil {
			break
		}
		if address, ok := table.addresses[r.Owner]; ok {
			e.node.send(r.Message, address)
		}
	}
	e.recordWarmups(table)
	servers := e.takeChanged()
	if table != nil && now.Sub(e.lastResend) >= limitResendPeriod {
		e.lastResend = now
		servers = table.owned
	}
	var entries []serverlimit.Entry
	for _, entry := range e.node.admission.LimitEntries(servers) {
		if !entry.Ended || entry.SinceAgeMS < endedResendTime.Milliseconds() {
			entries = append(entries, entry)
		}
	}
	reports := e.node.admission.WarmupReports(servers)
	if len(entries)+len(reports) > 0 {
		audience := e.audience(now)
		e.recordInformed(audience...)
		e.send(entries, audience...)
		e.sendReports(reports, audience...)
	}
}

// send sends limits to other routers.
func (e *limitExchange) send(entries []serverlimit.Entry, to ...netip.AddrPort) {
	for _, notice := range reservation.SplitLimits(e.node.settings.Router, entries) {
		e.node.send(notice, to...)
	}
}

// recordInformed records that other routers know of a limit.
func (e *limitExchange) recordInformed(routers ...netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range routers {
		e.informed[address] = time.Now()
	}
}

// isInformed reports whether a router knows of a limit from this router.
func (e *limitExchange) isInformed(now time.Time, address netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.informed[address]
	if ok && now.Sub(at) > informedTime {
		delete(e.informed, address)
		return false
	}
	return ok
}

// audience returns the addresses of the routers that need to know limits. In a large fleet these are the routers that
// place requests on servers or will next, and those that know of a limit; the others learn it from the first answer of the
// owner.
func (e *limitExchange) audience(now time.Time) []netip.AddrPort {
	registered := e.node.routers.Load()
	if registered == nil {
		return nil
	}
	var needed map[string]bool
	if len(*registered) > gossip.RelayedFleet {
		needed = e.node.activeRouters(now)
		for router := range e.node.standbyRouters() {
			needed[router] = true
		}
	}
	var list []netip.AddrPort
	for id, r := range *registered {
		if id != e.node.settings.Router && (needed == nil || needed[id] || e.isInformed(now, r.PeerAddress)) {
			list = append(list, r.PeerAddress)
		}
	}
	return list
}

// handleNotice handles what another router says about limits.
func (e *limitExchange) handleNotice(m reservation.LimitNotice, from netip.AddrPort) {
	e.recordInformed(from)
	e.merge(m.Router, m.Limits)
}

// merge records what another router knows of limits. The owner of a server passes changes on.
func (e *limitExchange) merge(router string, entries []serverlimit.Entry) {
	for _, c := range e.node.admission.MergeLimits(entries) {
		e.recordChange(c.Server, c.Change, c.Rate, router)
	}
}

// recordChange logs a change that another router has told. The owner of the server passes it on.
func (e *limitExchange) recordChange(server *backends.Server, change serverlimit.Change, rate float64, router string) {
	if change == serverlimit.Unchanged {
		return
	}
	e.node.log.Info("backend server limit "+change.String(), zap.String("server", server.ID), zap.Float64("limit", rate),
		zap.String("reported_by", router))
	if e.owners.owns(server.ID) {
		e.markChanged(server.ID)
	}
}

// notOwnerRetry is when a router may ask again that took another router for the owner of a server.
const notOwnerRetry = 100 * time.Millisecond

// answerPermit answers another router's request for a permit. Only the owner grants one.
func (e *limitExchange) answerPermit(r reservation.PermitRequest, from netip.AddrPort) reservation.PermitAnswer {
	e.recordInformed(from)
	if !e.owners.owns(r.Limit.Server) {
		e.merge(r.Router, []serverlimit.Entry{r.Limit})
		return reservation.PermitAnswer{ID: r.ID, RetryMS: notOwnerRetry.Milliseconds(), Limit: r.Limit}
	}
	answer, change := e.node.admission.GrantPermit(r)
	if server := e.node.servers.Load().Get(r.Limit.Server); server != nil {
		e.recordChange(server, change, r.Limit.Rate, r.Router)
	}
	return answer
}

// handleAnswer handles an owner's answer about a permit. A permit that came too late is given back.
func (e *limitExchange) handleAnswer(m reservation.PermitAnswer, from netip.AddrPort) {
	if m.Limit.Server != "" {
		e.merge(from.String(), []serverlimit.Entry{m.Limit})
	}
	if !e.owners.pendingRequests.Resolve(m.ID, m.Answer()) && m.Granted {
		e.node.send(reservation.PermitReturn{Server: m.Limit.Server, StartedAt: m.Limit.StartedAt, Count: 1}, from)
	}
}

// updateShare sets the fraction of the limits that this router may grant as an owner: that of the routers which it hears
// from. Others may have an owner of their own.
func (e *limitExchange) updateShare(now time.Time, live []gossip.Peer) {
	heard := len(live) + 1
	e.node.admission.SetFleet(heard, float64(heard)/float64(heard+e.unheard(now, live)))
}

// unheard returns the number of routers that may run although this router does not hear from them.
func (e *limitExchange) unheard(now time.Time, live []gossip.Peer) int {
	registered := e.node.routers.Load()
	if registered == nil || len(*registered) <= len(live)+1 {
		return 0
	}
	lastHeard := make(map[string]time.Time)
	for _, p := range e.node.peers.Known() {
		lastHeard[p.Router] = p.Heard
	}
	for _, p := range live {
		delete(lastHeard, p.Router)
	}
	count := 0
	for router, heard := range lastHeard {
		silence := now.Sub(heard)
		if _, ok := (*registered)[router]; ok && (silence < uncertainTime || silence > registrationTTL+uncertainTime) {
			count++
		}
	}
	return count
}
