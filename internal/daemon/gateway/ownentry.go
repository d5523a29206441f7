package gateway

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/coordination/gossip"
)

const (
	// entryReadTime is how long this router takes at most to read an entry that it has written. The entry is not written
	// again within it.
	entryReadTime = 2 * time.Second
	// maxUnregistered is how long a router that has lost its entry still takes part in the ownership of loads. The others
	// soon count it as lost, and it counts them as lost, so that it would be the owner of all servers beside the others.
	maxUnregistered = 3 * time.Second
)

// entryWatch compares this router's entry in the store with the one that it has written. A write of which the response was
// lost may replace the entry seconds later under a lease that nobody renews, and renewals of the router's own lease succeed
// all the same.
type entryWatch struct {
	// written is set once the entry has been written.
	written atomic.Bool
	// lostAt is when the entry was first read as missing or as another one, in nanoseconds since the Unix epoch. It is 0 if
	// the entry is not lost. An entry that was written a moment ago and has not been read yet looks lost, too.
	lostAt atomic.Int64
	// overwritten is set if another writer has given the entry a value that cannot be decoded. Running routers keep the
	// earlier one, but those that start cannot use it.
	overwritten atomic.Bool
	// lost is signalled when the entry becomes lost or is overwritten.
	lost chan struct{}
	// rewrites counts how often the entry was written again because it was lost.
	rewrites prometheus.Counter
}

func newEntryWatch() *entryWatch {
	return &entryWatch{lost: make(chan struct{}, 1), rewrites: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "gooseberrytide_entry_rewrites_total",
		Help: "Times that this router wrote its entry again because the store had lost it or listed another one.",
	})}
}

// compare records the entry that the store lists.
func (w *entryWatch) compare(now time.Time, own, listed discovery.Router) {
	if listed == own {
		w.lostAt.Store(0)
		return
	}
	if w.written.Load() && w.lostAt.CompareAndSwap(0, now.UnixNano()) {
		w.wake()
	}
}

// wake makes the router check its entry.
func (w *entryWatch) wake() {
	select {
	case w.lost <- struct{}{}:
	default:
	}
}

// mustRewrite reports whether the entry must be written again.
func (w *entryWatch) mustRewrite(now time.Time) bool {
	return w.lostFor(now) > 0 || w.overwritten.Load()
}

// lostFor returns for how long the entry has been lost. It is 0 if the entry is not lost.
func (w *entryWatch) lostFor(now time.Time) time.Duration {
	at := w.lostAt.Load()
	if at == 0 {
		return 0
	}
	return max(now.Sub(time.Unix(0, at)), 1)
}

// ownEntry returns this router's entry.
func (n *Node) ownEntry() discovery.Router {
	return discovery.Router{
		ID:          n.settings.Router,
		PeerAddress: netip.AddrPortFrom(n.settings.IP, uint16(n.settings.PeerPort)),
		Incarnation: n.incarnation,
	}
}

// onRouters is called with the registered routers when they may have changed.
func (n *Node) onRouters(list map[string]discovery.Router) {
	n.routers.Store(&list)
	n.entry.compare(time.Now(), n.ownEntry(), list[n.settings.Router])
}

// onInvalidRouter is called with the ID of a router whose entry cannot be decoded.
func (n *Node) onInvalidRouter(id string) {
	if id == n.settings.Router && n.entry.written.Load() {
		n.entry.overwritten.Store(true)
		n.entry.wake()
	}
}

// routerCount returns the number of routers that may run, this one included: the live ones, or those with an entry if that
// are more. A router that is cut off from this one keeps its entry.
func (n *Node) routerCount(live []gossip.Peer) int {
	count := len(live) + 1
	if registered := n.routers.Load(); registered != nil {
		count = max(count, len(*registered))
	}
	return count
}
