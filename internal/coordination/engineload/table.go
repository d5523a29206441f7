package engineload

import "time"

// reportLifetime is how long a part that another router reported counts without a new report. A router that is lost
// stops running requests soon after.
const reportLifetime = 1500 * time.Millisecond

// Load is what runs on one backend server.
type Load struct {
	// Running is the number of requests sent and not ended.
	Running int
	// PendingTokens are the prompt tokens of requests without a first event.
	PendingTokens int
	// ContextTokens are the tokens that running requests keep in memory.
	ContextTokens int
}

func (l Load) plus(o Load) Load {
	return Load{
		Running:       l.Running + o.Running,
		PendingTokens: l.PendingTokens + o.PendingTokens,
		ContextTokens: l.ContextTokens + o.ContextTokens,
	}
}

func (l Load) minus(o Load) Load {
	return Load{
		Running:       l.Running - o.Running,
		PendingTokens: l.PendingTokens - o.PendingTokens,
		ContextTokens: l.ContextTokens - o.ContextTokens,
	}
}

// Table holds the loads by server. It is not safe for concurrent use.
type Table struct {
	own map[string]Load
	// others is the sum of the peers' parts.
	others map[string]Load
	peers  map[string]*peer
}

// peer is the part of one router.
type peer struct {
	loads map[string]Load
	at    time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{own: make(map[string]Load), others: make(map[string]Load), peers: make(map[string]*peer)}
}

// Add adds to this router's part of a server's load.
func (t *Table) Add(server string, l Load) { t.put(t.own, server, t.own[server].plus(l)) }

// Remove takes from this router's part of a server's load.
func (t *Table) Remove(server string, l Load) { t.put(t.own, server, t.own[server].minus(l)) }

func (t *Table) put(loads map[string]Load, server string, l Load) {
	if l == (Load{}) {
		delete(loads, server)
		return
	}
	loads[server] = l
}

// Of returns the load of a server from all routers.
func (t *Table) Of(server string) Load { return t.own[server].plus(t.others[server]) }

// Own returns this router's part. The map must not be modified.
func (t *Table) Own() map[string]Load { return t.own }

// SetPeer replaces the part of another router.
func (t *Table) SetPeer(now time.Time, router string, loads map[string]Load) {
	t.ForgetPeer(router)
	for server, l := range loads {
		t.put(t.others, server, t.others[server].plus(l))
	}
	t.peers[router] = &peer{loads: loads, at: now}
}

// ForgetPeer drops the part of a router.
func (t *Table) ForgetPeer(router string) {
	p := t.peers[router]
	if p == nil {
		return
	}
	for server, l := range p.loads {
		t.put(t.others, server, t.others[server].minus(l))
	}
	delete(t.peers, router)
}

// Expire drops the parts of routers that have not reported for a while.
func (t *Table) Expire(now time.Time) {
	for router, p := range t.peers {
		if now.Sub(p.at) > reportLifetime {
			t.ForgetPeer(router)
		}
	}
}
