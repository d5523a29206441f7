package peerlink

import (
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"gooseberrytide.example/gooseberrytide/internal/protocol/peer"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// remote is a peer: its queue, its links, and the goroutine that writes to them.
type remote struct {
	n    *Network
	id   ident.RouterID
	wake chan struct{}
	stop chan struct{}
	// backoff and notBefore space the dials; only the goroutine uses them.
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time

	mu    sync.Mutex
	queue []peer.Envelope
	// writing says that messages taken from the queue are not yet written.
	writing bool
	used    time.Time
	// links holds the open links, newest last. Both ends may dial at once, so there may be two.
	links []*link
}

// newRemote returns an entry without links.
func newRemote(n *Network, id ident.RouterID) *remote {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffFirst
	b.MaxInterval = backoffMax
	return &remote{
		n: n, id: id, wake: make(chan struct{}, 1), stop: make(chan struct{}), backoff: b, used: time.Now(),
	}
}

// push queues a message, or reports that the queue is full.
func (r *remote) push(e peer.Envelope) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= queueLimit {
		return false
	}
	r.queue = append(r.queue, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

// pending reports whether messages wait for an open link.
func (r *remote) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links) > 0 && (len(r.queue) > 0 || r.writing)
}

// retire ends the goroutine of an unused peer. The network's lock keeps new messages out meanwhile.
func (r *remote) retire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 || r.writing || len(r.links) > 0 || time.Since(r.used) < r.n.opts.IdleTimeout {
		return false
	}
	close(r.stop)
	return true
}

// run writes queued messages until the network closes or the peer is retired.
func (r *remote) run() {
	defer r.n.wait.Done()
	for {
		select {
		case <-r.n.ctx.Done():
			return
		case <-r.stop:
			return
		case <-r.wake:
		}
		r.writeAll()
	}
}

// writeAll empties the queue. A batch starts at once when the link was quiet, and otherwise waits for the rest of the
// batch delay, so that a lone message is not delayed and a busy link sends few frames.
func (r *remote) writeAll() {
	for r.n.ctx.Err() == nil && r.waiting() {
		l := r.link()
		if l != nil {
			l.pace()
		}
		batch := r.take()
		if l == nil || r.n.cut(r.id) {
			r.drop(len(batch))
			continue
		}
		written, err := l.send(batch)
		r.drop(len(batch) - written)
		if err != nil {
			_ = l.conn.Close()
			r.n.detach(l)
		}
	}
	r.mu.Lock()
	r.writing = false
	r.mu.Unlock()
}

// pace waits until the batch delay since the last frame has passed.
func (l *link) pace() {
	rest := batchDelay - time.Since(time.Unix(0, l.written.Load()))
	if rest > 0 {
		time.Sleep(min(rest, batchDelay))
	}
}

// waiting reports whether messages are queued.
func (r *remote) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = len(r.queue) > 0
	return r.writing
}

// take empties the queue.
func (r *remote) take() []peer.Envelope {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.queue
	r.queue = nil
	r.used = time.Now()
	return batch
}

// drop counts messages that were not sent.
func (r *remote) drop(count int) { r.n.counters.dropped.Add(uint64(count)) }

// link returns an open link, or dials one. It returns nil when the peer cannot be reached.
func (r *remote) link() *link {
	if l := r.open(); l != nil {
		return l
	}
	if time.Now().Before(r.notBefore) {
		return nil
	}
	conn, s, err := r.n.dial(r.n.ctx, r.id, kindFrames)
	if err != nil {
		r.notBefore = time.Now().Add(r.backoff.NextBackOff())
		r.n.opts.Logger.Debug("peerlink: dial failed", zap.String("peer", string(r.id)), zap.Error(err))
		return r.open()
	}
	r.backoff.Reset()
	l := newLink(r.n, conn, s)
	if !r.n.attach(l) {
		r.n.release(conn)
		return nil
	}
	if !r.n.spawn(func() { defer r.n.release(conn); r.n.runLink(l) }) {
		r.n.detach(l)
		r.n.release(conn)
		return nil
	}
	return l
}

// open returns the link to send on, or nil: the newest of the preferred ones, or else the newest.
func (r *remote) open() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *link
	for _, l := range r.links {
		if best == nil || l.preferred || !best.preferred {
			best = l
		}
	}
	return best
}

// attach registers a link. Links of an earlier process of the peer are closed.
func (n *Network) attach(l *link) bool {
	n.mu.Lock()
	r := n.remoteLocked(l.peer.Router)
	if r == nil {
		n.mu.Unlock()
		return false
	}
	r.mu.Lock()
	n.mu.Unlock()
	defer r.mu.Unlock()
	r.used = time.Now()
	r.replace(l.peer.Incarnation)
	first := !r.has(l.peer.Incarnation)
	r.links = append(r.links, l)
	n.counters.links.Add(1)
	if first {
		n.report(l.peer, true)
	}
	return true
}

// replace closes the links to other processes of the peer. The caller holds r.mu.
func (r *remote) replace(current ident.Incarnation) {
	for _, old := range slices.Clone(r.links) {
		if old.peer.Incarnation != current {
			_ = old.conn.Close()
			r.remove(old)
		}
	}
}

// detach removes a link. It does nothing the second time.
func (n *Network) detach(l *link) {
	n.mu.RLock()
	r := n.remotes[l.peer.Router]
	n.mu.RUnlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(l)
}

// remove takes a link out and reports the end of the last one to its process. The caller holds r.mu.
func (r *remote) remove(l *link) {
	i := slices.Index(r.links, l)
	if i < 0 {
		return
	}
	r.links = slices.Delete(r.links, i, i+1)
	r.n.counters.links.Add(-1)
	if !r.has(l.peer.Incarnation) {
		r.n.report(l.peer, false)
	}
}

// has reports whether a link to a process is open. The caller holds r.mu.
func (r *remote) has(i ident.Incarnation) bool {
	return slices.ContainsFunc(r.links, func(l *link) bool { return l.peer.Incarnation == i })
}

// report queues a call of OnLink.
func (n *Network) report(p peer.Endpoint, up bool) {
	n.events.add(func() { n.opts.OnLink(p.Router, p.Incarnation, up) })
}
