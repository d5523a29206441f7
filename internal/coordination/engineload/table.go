package engineload

import "time"

const (
	// reportLifetime is how long a load that another router reported counts without a new report. The requests of a
	// lost router end soon after it is lost.
	reportLifetime = 1500 * time.Millisecond
	// totalLifetime is how long an owner's total counts without a new one. It is several report periods of a large
	// fleet.
	totalLifetime = time.Second
	// adoptedTotalLifetime is how long a new owner uses the total that it knew before, until the other routers have
	// reported their loads to it.
	adoptedTotalLifetime = 300 * time.Millisecond
)

// Load is the load on one backend server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests that were sent and have not ended.
	Running int
	// PendingTokens is the number of prompt tokens to prefill for requests without a first event.
	PendingTokens int
	// ContextTokens is the number of tokens that running requests hold in memory.
	ContextTokens int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Running:       l.Running + o.Running,
		PendingTokens: l.PendingTokens + o.PendingTokens,
		ContextTokens: l.ContextTokens + o.ContextTokens,
	}
}

// Minus returns the difference of two loads.
func (l Load) Minus(o Load) Load {
	return Load{
		Running:       l.Running - o.Running,
		PendingTokens: l.PendingTokens - o.PendingTokens,
		ContextTokens: l.ContextTokens - o.ContextTokens,
	}
}

// atLeast returns the larger value of each field.
func (l Load) atLeast(o Load) Load {
	return Load{
		Running:       max(l.Running, o.Running),
		PendingTokens: max(l.PendingTokens, o.PendingTokens),
		ContextTokens: max(l.ContextTokens, o.ContextTokens),
	}
}

// Table holds the loads by server. It is not safe for concurrent use.
type Table struct {
	// own holds the loads that this router puts on servers.
	own map[string]Load
	// peerSums holds the sum of the peers' loads.
	peerSums map[string]Load
	// peers holds the loads by router and server.
	peers map[string]map[string]report
	// totals holds the loads from all routers that owners have reported, updated with this router's changes since.
	totals map[string]total
	// changed holds the servers whose own load has changed since the last TakeChanged.
	changed map[string]struct{}
}

// report is the load that one router puts on a server.
type report struct {
	Load
	at time.Time
}

// total is the load of a server from all routers, and the time until which it counts.
type total struct {
	Load
	until time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		own: make(map[string]Load), peerSums: make(map[string]Load), peers: make(map[string]map[string]report),
		totals: make(map[string]total), changed: make(map[string]struct{}),
	}
}

// Add adds to this router's load on a server.
func (t *Table) Add(server string, l Load) { t.setOwn(server, t.own[server].Plus(l)) }

// Remove subtracts from this router's load on a server.
func (t *Table) Remove(server string, l Load) { t.setOwn(server, t.own[server].Minus(l)) }

// setOwn sets this router's load on a server and adjusts the total that the owner reported.
func (t *Table) setOwn(server string, l Load) {
	if known, ok := t.totals[server]; ok {
		known.Load = known.Plus(l.Minus(t.own[server])).atLeast(Load{})
		t.totals[server] = known
	}
	setOrDelete(t.own, server, l)
	t.changed[server] = struct{}{}
}

func setOrDelete(loads map[string]Load, server string, l Load) {
	if l == (Load{}) {
		delete(loads, server)
		return
	}
	loads[server] = l
}

// Total returns the load of a server from all routers: the owner's total if it is known, else the sum of the reports.
func (t *Table) Total(server string) Load {
	if known, ok := t.totals[server]; ok {
		return known.atLeast(t.own[server])
	}
	return t.own[server].Plus(t.peerSums[server])
}

// Own returns this router's loads by server. The map must not be modified.
func (t *Table) Own() map[string]Load { return t.own }

// TakeChanged returns the servers whose own load has changed since the last call.
func (t *Table) TakeChanged() []string {
	servers := make([]string, 0, len(t.changed))
	for server := range t.changed {
		servers = append(servers, server)
	}
	clear(t.changed)
	return servers
}

// Settled reports whether this router puts no load on any server and that TakeChanged has returned all changes.
func (t *Table) Settled() bool { return len(t.own) == 0 && len(t.changed) == 0 }

// SetTotal records the total load of a server that its owner reported.
func (t *Table) SetTotal(now time.Time, server string, l Load) {
	t.totals[server] = total{Load: l.atLeast(Load{}), until: now.Add(totalLifetime)}
}

// Adopt makes this router the owner of a server. The total that it knew before counts for a limited time, in which the
// other routers report their loads.
func (t *Table) Adopt(now time.Time, server string) {
	if known, ok := t.totals[server]; ok {
		known.until = now.Add(adoptedTotalLifetime)
		t.totals[server] = known
	}
}

// Reserve records that another router adds a load to a server that this router owns. own is that router's whole load on
// the server.
func (t *Table) Reserve(now time.Time, router, server string, added, own Load) {
	t.SetPeerLoad(now, router, server, own)
	if known, ok := t.totals[server]; ok {
		known.Load = known.Plus(added)
		t.totals[server] = known
	}
}

// SetPeerLoads replaces the loads of another router on all servers.
func (t *Table) SetPeerLoads(now time.Time, router string, loads map[string]Load) {
	t.ForgetPeer(router)
	for server, l := range loads {
		t.SetPeerLoad(now, router, server, l)
	}
}

// SetPeerLoad replaces the load of another router on one server.
func (t *Table) SetPeerLoad(now time.Time, router, server string, l Load) {
	reports := t.peers[router]
	if reports == nil {
		reports = make(map[string]report)
		t.peers[router] = reports
	}
	t.removePeerLoad(reports, server)
	if l != (Load{}) {
		reports[server] = report{Load: l, at: now}
		setOrDelete(t.peerSums, server, t.peerSums[server].Plus(l))
	}
}

func (t *Table) removePeerLoad(reports map[string]report, server string) {
	if known, ok := reports[server]; ok {
		setOrDelete(t.peerSums, server, t.peerSums[server].Minus(known.Load))
		delete(reports, server)
	}
}

// ForgetPeer drops the loads of a router.
func (t *Table) ForgetPeer(router string) {
	reports := t.peers[router]
	for server := range reports {
		t.removePeerLoad(reports, server)
	}
	delete(t.peers, router)
}

// Expire drops the loads and totals whose lifetime is over.
func (t *Table) Expire(now time.Time) {
	for _, reports := range t.peers {
		for server, r := range reports {
			if now.Sub(r.at) > reportLifetime {
				t.removePeerLoad(reports, server)
			}
		}
	}
	for server, known := range t.totals {
		if now.After(known.until) {
			delete(t.totals, server)
		}
	}
}
