package membership

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// relayTimeout is how long a relayed ping waits for its ack. The requester's own probe has timed out by then.
const relayTimeout = time.Second

// Receive handles a packet from an authenticated member and returns the packets to send. Invalid packets are ignored.
func (d *Detector) Receive(now time.Duration, from ident.RouterID, p Packet) []Outbound {
	if from == d.self.ID || from != p.From.ID || len(p.Updates) > MaxUpdates {
		return nil
	}
	if !isValid(p.From) || p.From.State == Suspect || p.From.State == Dead {
		return nil
	}
	r := d.mergeSender(now, p.From)
	if r == nil {
		return nil
	}
	r.joining = p.Joining
	for _, u := range p.Updates {
		d.apply(now, u)
	}
	out := d.respond(now, r, p)
	d.publishOnTick = true
	d.publishIfChanged()
	return out
}

// isValid reports whether a row from another member has an ID, a valid state and an incarnation below MaxIncarnation.
func isValid(m Member) bool {
	return m.ID != "" && m.Incarnation < MaxIncarnation && m.State >= Alive && m.State <= Left
}

// mergeSender merges the sender's own row and returns the local row, or nil if the table is full. A packet of an older
// process or version never replaces a newer row.
func (d *Detector) mergeSender(now time.Duration, m Member) *row {
	r := d.rows[m.ID]
	if r == nil {
		r = d.addRow(m.ID)
	}
	if r == nil {
		return nil
	}
	r.outdated = r.known && !m.newerThan(r.Member) && !m.sameVersion(r.Member)
	if r.outdated {
		return r
	}
	if !r.known || m.newerThan(r.Member) {
		d.replaceRow(now, r, m)
		return r
	}
	if m.State == Left && r.State != Left {
		d.setState(r, Left, now)
		return r
	}
	r.updateAddresses(m)
	r.Generation = max(r.Generation, m.Generation)
	r.Load = m.Load
	return r
}

// replaceRow replaces a row by a newer one, keeping addresses and domain that the newer one lacks.
func (d *Detector) replaceRow(now time.Duration, r *row, m Member) {
	if r.known && r.Incarnation == m.Incarnation {
		m.Generation = max(m.Generation, r.Generation)
	} else {
		r.hasSelfAddresses = false
	}
	r.Member = m.fillFrom(r.Member)
	r.known = true
	r.since = now
	d.announce(r)
}

// apply merges an update that another member passed on.
func (d *Detector) apply(now time.Duration, u Update) {
	if !isValid(u.Member) {
		return
	}
	if u.Member.ID == d.self.ID {
		d.refute(u.Member)
		return
	}
	r := d.rows[u.Member.ID]
	if r == nil || !r.known {
		d.addFromUpdate(now, r, u)
		return
	}
	if u.Member.newerThan(r.Member) {
		d.replaceRow(now, r, u.Member)
		d.backdateSuspicion(now, r, u)
		return
	}
	if !u.Member.sameVersion(r.Member) || u.Member.State < r.State {
		r.gossipLeft = max(r.gossipLeft, 1) // the sender's row is older than this one
		return
	}
	if u.Member.State == r.State {
		r.gossipLeft = max(r.gossipLeft-1, 0) // others already pass it on
	}
	r.Member = r.fillFrom(u.Member)
	r.Generation = max(r.Generation, u.Member.Generation)
	if u.Member.State > r.State {
		d.setState(r, u.Member.State, now)
	}
	d.backdateSuspicion(now, r, u)
}

// addFromUpdate adds a member that others report as live. Updates that an unknown member is dead or left are ignored.
func (d *Detector) addFromUpdate(now time.Duration, r *row, u Update) {
	if !u.Member.State.Live() {
		return
	}
	if r == nil {
		r = d.addRow(u.Member.ID)
	}
	if r == nil {
		return
	}
	d.replaceRow(now, r, u.Member)
	d.backdateSuspicion(now, r, u)
}

// backdateSuspicion moves the start of a suspicion back to the time at which the first member suspected it.
func (d *Detector) backdateSuspicion(now time.Duration, r *row, u Update) {
	if u.Member.State != Suspect || r.State != Suspect {
		return
	}
	age := min(time.Duration(u.SuspectMS)*time.Millisecond, suspectTimeout)
	r.since = min(r.since, now-age)
}

// refute raises the version of this process above that of an update that does not call it alive, and its incarnation
// above that of another process with the same ID. A process that leaves does neither, since its successor may have
// started.
func (d *Detector) refute(m Member) {
	self := d.self
	if self.State == Left {
		return
	}
	switch {
	case m.Incarnation > self.Incarnation,
		m.Incarnation == self.Incarnation && m.Version > self.Version && m.State == Alive,
		m.Incarnation == self.Incarnation && m.Version == math.MaxUint32:
		self.Incarnation = m.Incarnation + 1
		self.Version = 0
	case m.Incarnation == self.Incarnation && m.Version >= self.Version && m.State != Alive:
		self.Version = m.Version + 1
	default:
		return
	}
	d.announce(self)
}

// respond handles the packet according to its kind.
func (d *Detector) respond(now time.Duration, r *row, p Packet) []Outbound {
	switch p.Kind {
	case Ping:
		return d.answerPing(now, r, p)
	case PingReq:
		return d.relayPing(now, r, p)
	case Ack:
		return d.handleAck(now, r, p)
	}
	return nil
}

// answerPing returns the ack of a ping. Members that leave get none.
func (d *Detector) answerPing(now time.Duration, r *row, p Packet) []Outbound {
	if p.From.State == Left {
		return nil
	}
	return []Outbound{{To: r.ID, Packet: d.packet(now, Ack, p.Seq, r)}}
}

// relayPing pings the target of a ping-req on behalf of the requester.
func (d *Detector) relayPing(now time.Duration, r *row, p Packet) []Outbound {
	target := d.rows[p.Target]
	if target == nil || target == d.self || len(d.relays) >= maxRelays {
		return nil
	}
	d.seq++
	d.relays[d.seq] = relayedPing{requester: r.ID, seq: p.Seq, target: p.Target, deadline: now + relayTimeout}
	return []Outbound{{To: target.ID, Packet: d.packet(now, Ping, d.seq, target)}}
}

// handleAck ends the probe or relayed ping that the ack belongs to. Duplicate and late acks match neither.
func (d *Detector) handleAck(now time.Duration, r *row, p Packet) []Outbound {
	if p.Target != "" {
		d.handleRelayedAck(p)
		return nil
	}
	if pr, ok := d.probes[p.Seq]; ok && pr.target == r.ID {
		delete(d.probes, p.Seq)
		r.lastAcked = max(r.lastAcked, pr.sent)
		r.hasAcked = true
		r.hasSelfAddresses = r.hasSelfAddresses || pr.withAddresses
		if pr.inRotation {
			d.addSample(sample{sent: pr.sent, answered: true, generation: p.From.Generation})
		}
		return nil
	}
	relayed, ok := d.relays[p.Seq]
	if !ok || relayed.target != r.ID {
		return nil
	}
	delete(d.relays, p.Seq)
	requester := d.rows[relayed.requester]
	if requester == nil {
		return nil
	}
	packet := d.packet(now, Ack, relayed.seq, requester)
	packet.Target = r.ID
	return []Outbound{{To: relayed.requester, Packet: packet}}
}

// handleRelayedAck ends a probe whose target answered an indirect ping.
func (d *Detector) handleRelayedAck(p Packet) {
	if pr, ok := d.probes[p.Seq]; ok && pr.target == p.Target {
		delete(d.probes, p.Seq)
	}
}
