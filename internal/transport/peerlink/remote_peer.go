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

// remotePeer holds the message queue and the links of one peer. One goroutine writes the queued messages to the links.
type remotePeer struct {
	n  *Network
	id ident.RouterID
	// wake signals the goroutine that messages are queued.
	wake chan struct{}
	// stop is closed to end the goroutine.
	stop chan struct{}
	// backoff and nextDial delay dials after failed ones. Only the goroutine uses them.
	backoff  *backoff.ExponentialBackOff
	nextDial time.Time

	mu    sync.Mutex
	queue []peer.Envelope
	// writing reports that messages taken from the queue are not written yet.
	writing bool
	// lastUsed is the time when messages were last taken from the queue, or a link was last attached.
	lastUsed time.Time
	// links holds the open links, newest last. There may be two, because both ends may dial at the same time.
	links []*link
}

// newRemotePeer returns a remotePeer without links.
func newRemotePeer(n *Network, id ident.RouterID) *remotePeer {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minDialBackoff
	b.MaxInterval = maxDialBackoff
	return &remotePeer{
		n: n, id: id, wake: make(chan struct{}, 1), stop: make(chan struct{}), backoff: b, lastUsed: time.Now(),
	}
}

// enqueue appends a message to the queue. It returns false if the queue is full.
func (r *remotePeer) enqueue(e peer.Envelope) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= maxQueuedMessages {
		return false
	}
	r.queue = append(r.queue, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

// hasPending reports whether there is an open link and unsent messages.
func (r *remotePeer) hasPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links) > 0 && (len(r.queue) > 0 || r.writing)
}

// stopIfIdle ends the goroutine of an idle peer and returns true. The caller holds n.mu, so no message is queued
// meanwhile.
func (r *remotePeer) stopIfIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 || r.writing || len(r.links) > 0 || time.Since(r.lastUsed) < r.n.opts.IdleTimeout {
		return false
	}
	close(r.stop)
	return true
}

// run writes queued messages until the network is closed or the peer is removed.
func (r *remotePeer) run() {
	defer r.n.wg.Done()
	for {
		select {
		case <-r.n.ctx.Done():
			return
		case <-r.stop:
			return
		case <-r.wake:
		}
		r.writeQueued()
	}
}

// writeQueued writes messages until the queue is empty. A batch is written immediately if the link was idle, and
// otherwise after the rest of the batch delay, so that a single message is not delayed and a busy link sends few
// frames.
func (r *remotePeer) writeQueued() {
	for r.n.ctx.Err() == nil && r.updateWriting() {
		l := r.openLink()
		if l != nil {
			l.waitBatchDelay()
		}
		batch := r.takeQueue()
		if l == nil || r.n.isBlocked(r.id) {
			r.countDropped(len(batch))
			continue
		}
		written, err := l.send(batch)
		r.countDropped(len(batch) - written)
		if err != nil {
			_ = l.conn.Close()
			r.n.detach(l)
		}
	}
	r.mu.Lock()
	r.writing = false
	r.mu.Unlock()
}

// waitBatchDelay waits until the batch delay since the latest frame has passed.
func (l *link) waitBatchDelay() {
	remaining := batchDelay - time.Since(time.Unix(0, l.lastWrite.Load()))
	if remaining > 0 {
		time.Sleep(min(remaining, batchDelay))
	}
}

// updateWriting sets writing to whether messages are queued, and returns it.
func (r *remotePeer) updateWriting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = len(r.queue) > 0
	return r.writing
}

// takeQueue removes and returns all queued messages.
func (r *remotePeer) takeQueue() []peer.Envelope {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.queue
	r.queue = nil
	r.lastUsed = time.Now()
	return batch
}

// countDropped counts messages that were not sent.
func (r *remotePeer) countDropped(count int) { r.n.counters.dropped.Add(uint64(count)) }

// openLink returns an open link, dialing if needed. It returns nil if the peer cannot be reached or the dial backoff
// has not expired.
func (r *remotePeer) openLink() *link {
	if l := r.bestLink(); l != nil {
		return l
	}
	if time.Now().Before(r.nextDial) {
		return nil
	}
	conn, s, err := r.n.dial(r.n.ctx, r.id, kindFrames)
	if err != nil {
		r.nextDial = time.Now().Add(r.backoff.NextBackOff())
		r.n.opts.Logger.Debug("peerlink: dial failed", zap.String("peer", string(r.id)), zap.Error(err))
		return r.bestLink()
	}
	r.backoff.Reset()
	l := newLink(r.n, conn, s)
	if !r.n.attach(l) {
		r.n.closeConn(conn)
		return nil
	}
	if !r.n.spawn(func() { defer r.n.closeConn(conn); r.n.runLink(l) }) {
		r.n.detach(l)
		r.n.closeConn(conn)
		return nil
	}
	return l
}

// bestLink returns the open link to send on, or nil if there is none. It is the newest preferred link, or the newest
// link if none is preferred.
func (r *remotePeer) bestLink() *link {
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

// attach registers a link and closes the links to other processes of the peer. It returns false if the network is
// closed.
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
	r.lastUsed = time.Now()
	r.closeOtherIncarnations(l.peer.Incarnation)
	first := !r.hasLink(l.peer.Incarnation)
	r.links = append(r.links, l)
	n.counters.links.Add(1)
	if first {
		n.notifyLink(l.peer, true)
	}
	return true
}

// closeOtherIncarnations closes the links to other processes of the peer. The caller holds r.mu.
func (r *remotePeer) closeOtherIncarnations(current ident.Incarnation) {
	for _, old := range slices.Clone(r.links) {
		if old.peer.Incarnation != current {
			_ = old.conn.Close()
			r.removeLink(old)
		}
	}
}

// detach removes a link. It has no effect if the link was already removed.
func (n *Network) detach(l *link) {
	n.mu.RLock()
	r := n.remotes[l.peer.Router]
	n.mu.RUnlock()
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLink(l)
}

// removeLink removes a link and reports when the last link to its process is down. The caller holds r.mu.
func (r *remotePeer) removeLink(l *link) {
	i := slices.Index(r.links, l)
	if i < 0 {
		return
	}
	r.links = slices.Delete(r.links, i, i+1)
	r.n.counters.links.Add(-1)
	if !r.hasLink(l.peer.Incarnation) {
		r.n.notifyLink(l.peer, false)
	}
}

// hasLink reports whether there is a link to the process with the incarnation. The caller holds r.mu.
func (r *remotePeer) hasLink(i ident.Incarnation) bool {
	return slices.ContainsFunc(r.links, func(l *link) bool { return l.peer.Incarnation == i })
}

// notifyLink queues a call of OnLink.
func (n *Network) notifyLink(p peer.Endpoint, up bool) {
	n.callbacks.add(func() { n.opts.OnLink(p.Router, p.Incarnation, up) })
}
