package gossip

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// lostIntervals is the number of its report intervals without a report after which a router counts as lost.
const lostIntervals = 3.25

// Peer is the latest report of another router.
type Peer struct {
	*Report
	// Heard is the time at which the report was received.
	Heard time.Time
}

// Peers holds the latest report of each other router. It is safe for concurrent use.
type Peers struct {
	mu    sync.Mutex
	peers map[string]Peer
}

// lost reports whether the router has missed its reports.
func (p *Peer) lost(now time.Time) bool {
	interval := min(max(time.Duration(p.IntervalMS)*time.Millisecond, MaxPeriod), maxIdlePeriod)
	return now.Sub(p.Heard) > time.Duration(lostIntervals*float64(interval))
}

// NewPeers returns an empty table.
func NewPeers() *Peers { return &Peers{peers: make(map[string]Peer)} }

// Update records a report. It returns false for a report that is not newer than the one known.
func (p *Peers) Update(now time.Time, r *Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[r.Router]
	if ok && (r.Incarnation < known.Incarnation || r.Incarnation == known.Incarnation && r.Seq <= known.Seq) {
		return false
	}
	p.peers[r.Router] = Peer{Report: r, Heard: now}
	return true
}

// Live returns the routers that are not lost, sorted by name.
func (p *Peers) Live(now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []Peer
	for _, peer := range p.peers {
		if !peer.lost(now) {
			live = append(live, peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Router, b.Router) })
	return live
}

// RemoveLost removes the routers without a recent report and returns their names.
func (p *Peers) RemoveLost(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []string
	for name, peer := range p.peers {
		if peer.lost(now) {
			lost = append(lost, name)
			delete(p.peers, name)
		}
	}
	return lost
}
