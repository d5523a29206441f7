package engineload

import "time"

const (
	// reportLifetime is how long a part that another router reported counts without a new report. A router that is lost
	// stops running requests soon after.
	reportLifetime = 1500 * time.Millisecond
	// totalLifetime is how long an owner's total counts without a new one: some periods of reports in a large fleet.
	totalLifetime = time.Second
	// adoptTime is how long a new owner goes by the total that it knew before: until the others have told it their parts.
	adoptTime = 300 * time.Millisecond
)

// Load is what runs on one backend server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests sent and not ended.
	Running int
	// PendingTokens are the prompt tokens of requests without a first event.
	PendingTokens int
	// ContextTokens are the tokens that running requests keep in memory.
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

// Minus returns the load without a part of it.
func (l Load) Minus(o Load) Load {
	return Load{
		Running:       l.Running - o.Running,
		PendingTokens: l.PendingTokens - o.PendingTokens,
		ContextTokens: l.ContextTokens - o.ContextTokens,
	}
}

// atLeast returns the larger of each figure.
func (l Load) atLeast(o Load) Load {
	return Load{
		Running:       max(l.Running, o.Running),
		PendingTokens: max(l.PendingTokens, o.PendingTokens),
		ContextTokens: max(l.ContextTokens, o.ContextTokens),
	}
}

// Table holds the loads by server. It is not safe for concurrent use.
type Table struct {
	own map[string]Load
	// others is the sum of the peers' parts.
	others map[string]Load
	peers  map[string]map[string]part
	// totals are the loads from all routers that owners have told, and what changed here since.
	totals map[string]total
	// touched are the servers whose own part has changed since the last look.
	touched map[string]struct{}
}

// part is the part of one router.
type part struct {
	Load
	at time.Time
}

// total is the load of a server from all routers.
type total struct {
	Load
	until time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		own: make(map[string]Load), others: make(map[string]Load), peers: make(map[string]map[string]part),
		totals: make(map[string]total), touched: make(map[string]struct{}),
	}
}

// Add adds to this router's part of a server's load.
func (t *Table) Add(server string, l Load) { t.change(server, t.own[server].Plus(l)) }

// Remove takes from this router's part of a server's load.
func (t *Table) Remove(server string, l Load) { t.change(server, t.own[server].Minus(l)) }

// change sets this router's part, and corrects the total that an owner told.
func (t *Table) change(server string, l Load) {
	if known, ok := t.totals[server]; ok {
		known.Load = known.Plus(l.Minus(t.own[server])).atLeast(Load{})
		t.totals[server] = known
	}
	put(t.own, server, l)
	t.touched[server] = struct{}{}
}

func put(loads map[string]Load, server string, l Load) {
	if l == (Load{}) {
		delete(loads, server)
		return
	}
	loads[server] = l
}

// Of returns the load of a server from all routers.
func (t *Table) Of(server string) Load {
	if known, ok := t.totals[server]; ok {
		return known.atLeast(t.own[server])
	}
	return t.own[server].Plus(t.others[server])
}

// Own returns this router's part. The map must not be modified.
func (t *Table) Own() map[string]Load { return t.own }

// TakeTouched returns the servers whose own part has changed since the last call.
func (t *Table) TakeTouched() []string {
	servers := make([]string, 0, len(t.touched))
	for server := range t.touched {
		servers = append(servers, server)
	}
	clear(t.touched)
	return servers
}

// SetTotal takes what the owner of a server says of its load.
func (t *Table) SetTotal(now time.Time, server string, l Load) {
	t.totals[server] = total{Load: l.atLeast(Load{}), until: now.Add(totalLifetime)}
}

// Adopt makes this router the owner of a server: the total that it knew counts until the others have told their parts.
func (t *Table) Adopt(now time.Time, server string) {
	if known, ok := t.totals[server]; ok {
		known.until = now.Add(adoptTime)
		t.totals[server] = known
	}
}

// Reserve records that another router puts a load on a server that this router owns. Own is all of that router's load
// there.
func (t *Table) Reserve(now time.Time, router, server string, added, own Load) {
	t.SetPart(now, router, server, own)
	if known, ok := t.totals[server]; ok {
		known.Load = known.Plus(added)
		t.totals[server] = known
	}
}

// SetPeer replaces the part of another router on all servers.
func (t *Table) SetPeer(now time.Time, router string, loads map[string]Load) {
	t.ForgetPeer(router)
	for server, l := range loads {
		t.SetPart(now, router, server, l)
	}
}

// SetPart replaces the part of another router on one server.
func (t *Table) SetPart(now time.Time, router, server string, l Load) {
	parts := t.peers[router]
	if parts == nil {
		parts = make(map[string]part)
		t.peers[router] = parts
	}
	t.dropPart(parts, server)
	if l != (Load{}) {
		parts[server] = part{Load: l, at: now}
		put(t.others, server, t.others[server].Plus(l))
	}
}

func (t *Table) dropPart(parts map[string]part, server string) {
	if known, ok := parts[server]; ok {
		put(t.others, server, t.others[server].Minus(known.Load))
		delete(parts, server)
	}
}

// ForgetPeer drops the part of a router.
func (t *Table) ForgetPeer(router string) {
	parts := t.peers[router]
	for server := range parts {
		t.dropPart(parts, server)
	}
	delete(t.peers, router)
}

// Expire drops what has not been reported for a while.
func (t *Table) Expire(now time.Time) {
	for _, parts := range t.peers {
		for server, p := range parts {
			if now.Sub(p.at) > reportLifetime {
				t.dropPart(parts, server)
			}
		}
	}
	for server, known := range t.totals {
		if now.After(known.until) {
			delete(t.totals, server)
		}
	}
}
