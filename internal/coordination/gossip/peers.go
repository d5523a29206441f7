package gossip

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// silentAfter is the age of a router's last report from which it counts as lost.
const silentAfter = 1300 * time.Millisecond

// Peer is the latest news of another router.
type Peer struct {
	*Report
	// Heard is when the report came.
	Heard time.Time
}

// Peers holds the latest reports. It is safe for concurrent use.
type Peers struct {
	mu    sync.Mutex
	peers map[string]Peer
}

// NewPeers returns an empty table.
func NewPeers() *Peers { return &Peers{peers: make(map[string]Peer)} }

// Take records a report. It returns false for one that is older than what is known.
func (p *Peers) Take(now time.Time, r *Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[r.Router]
	if ok && (r.Incarnation < known.Incarnation || r.Incarnation == known.Incarnation && r.Seq <= known.Seq) {
		return false
	}
	p.peers[r.Router] = Peer{Report: r, Heard: now}
	return true
}

// Live returns the routers that were heard lately, by name.
func (p *Peers) Live(now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []Peer
	for _, peer := range p.peers {
		if now.Sub(peer.Heard) <= silentAfter {
			live = append(live, peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Router, b.Router) })
	return live
}

// Lost removes the routers that fell silent and returns their names.
func (p *Peers) Lost(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []string
	for name, peer := range p.peers {
		if now.Sub(peer.Heard) > silentAfter {
			lost = append(lost, name)
			delete(p.peers, name)
		}
	}
	return lost
}
