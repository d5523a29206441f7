package membership

import (
	"math"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// relayTimeout ends a relayed ping; the requester has given up by then.
const relayTimeout = time.Second

// Receive handles a packet from an authenticated member and returns the answers.
func (d *Detector) Receive(now time.Duration, from ident.RouterID, p Packet) []Outbound {
	if from == d.self.ID || from != p.From.ID || len(p.Updates) > MaxUpdates {
		return nil
	}
	if !acceptable(p.From) || p.From.State == Suspect || p.From.State == Dead {
		return nil
	}
	r := d.direct(now, p.From)
	if r == nil {
		return nil
	}
	r.joining = p.Joining
	for _, u := range p.Updates {
		d.apply(now, u)
	}
	out := d.answer(now, r, p)
	d.dirty = true
	d.settle()
	return out
}

// acceptable bounds what is taken from others.
func acceptable(m Member) bool {
	return m.ID != "" && m.Incarnation < MaxIncarnation && m.State >= Alive && m.State <= Left
}

// direct merges the sender's own row. Silence or a packet of an older process never replaces a newer row.
func (d *Detector) direct(now time.Duration, m Member) *row {
	r := d.rows[m.ID]
	if r == nil {
		r = d.add(m.ID)
	}
	if r == nil {
		return nil
	}
	r.behind = r.known && !m.newer(r.Member) && !m.same(r.Member)
	if r.behind {
		return r
	}
	if !r.known || m.newer(r.Member) {
		d.replace(now, r, m)
		return r
	}
	if m.State == Left && r.State != Left {
		d.setState(r, Left, now)
		return r
	}
	r.relocate(m)
	r.Generation = max(r.Generation, m.Generation)
	r.Load = m.Load
	return r
}

// replace takes a newer row as it is.
func (d *Detector) replace(now time.Duration, r *row, m Member) {
	if r.known && r.Incarnation == m.Incarnation {
		m.Generation = max(m.Generation, r.Generation)
	} else {
		r.told = false
	}
	r.Member = m.keep(r.Member)
	r.known = true
	r.since = now
	d.announce(r)
}

// apply merges a statement that another member passed on.
func (d *Detector) apply(now time.Duration, u Update) {
	if !acceptable(u.Member) {
		return
	}
	if u.Member.ID == d.self.ID {
		d.refute(u.Member)
		return
	}
	r := d.rows[u.Member.ID]
	if r == nil || !r.known {
		d.learn(now, r, u)
		return
	}
	if u.Member.newer(r.Member) {
		d.replace(now, r, u.Member)
		d.date(now, r, u)
		return
	}
	if !u.Member.same(r.Member) || u.Member.State < r.State {
		r.gossip = max(r.gossip, 1) // the sender missed the news
		return
	}
	if u.Member.State == r.State {
		r.gossip = max(r.gossip-1, 0) // others pass it on already
	}
	r.Member = r.keep(u.Member)
	r.Generation = max(r.Generation, u.Member.Generation)
	if u.Member.State > r.State {
		d.setState(r, u.Member.State, now)
	}
	d.date(now, r, u)
}

// learn adds a member that others hold live. Statements that an unknown member is gone are of no use.
func (d *Detector) learn(now time.Duration, r *row, u Update) {
	if !u.Member.State.Live() {
		return
	}
	if r == nil {
		r = d.add(u.Member.ID)
	}
	if r == nil {
		return
	}
	d.replace(now, r, u.Member)
	d.date(now, r, u)
}

// date moves the start of a suspicion back to when the first member had it.
func (d *Detector) date(now time.Duration, r *row, u Update) {
	if u.Member.State != Suspect || r.State != Suspect {
		return
	}
	age := min(time.Duration(u.SuspectMS)*time.Millisecond, suspectTimeout)
	r.since = min(r.since, now-age)
}

// refute contradicts a statement about this process, and moves past earlier processes of the same name. A process that
// leaves does neither, as its successor may have started.
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

// answer reacts to the packet's kind.
func (d *Detector) answer(now time.Duration, r *row, p Packet) []Outbound {
	switch p.Kind {
	case Ping:
		return d.ack(now, r, p)
	case PingReq:
		return d.relay(now, r, p)
	case Ack:
		return d.acked(now, r, p)
	}
	return nil
}

// ack answers a ping.
func (d *Detector) ack(now time.Duration, r *row, p Packet) []Outbound {
	if p.From.State == Left {
		return nil
	}
	return []Outbound{{To: r.ID, Packet: d.packet(now, Ack, p.Seq, r)}}
}

// relay pings the target of a ping-req.
func (d *Detector) relay(now time.Duration, r *row, p Packet) []Outbound {
	target := d.rows[p.Target]
	if target == nil || target == d.self || len(d.relays) >= maxRelays {
		return nil
	}
	d.seq++
	d.relays[d.seq] = relay{requester: r.ID, seq: p.Seq, target: p.Target, deadline: now + relayTimeout}
	return []Outbound{{To: target.ID, Packet: d.packet(now, Ping, d.seq, target)}}
}

// acked ends the probe or the relay that the ack belongs to. Duplicated and late acks find neither.
func (d *Detector) acked(now time.Duration, r *row, p Packet) []Outbound {
	if p.Target != "" {
		d.ackedFor(p)
		return nil
	}
	if pr, ok := d.probes[p.Seq]; ok && pr.target == r.ID {
		delete(d.probes, p.Seq)
		r.heard = max(r.heard, pr.sent)
		r.isHeard = true
		r.told = r.told || pr.full
		if pr.regular {
			d.addSample(sample{sent: pr.sent, answered: true, generation: p.From.Generation})
		}
		return nil
	}
	re, ok := d.relays[p.Seq]
	if !ok || re.target != r.ID {
		return nil
	}
	delete(d.relays, p.Seq)
	requester := d.rows[re.requester]
	if requester == nil {
		return nil
	}
	packet := d.packet(now, Ack, re.seq, requester)
	packet.Target = r.ID
	return []Outbound{{To: re.requester, Packet: packet}}
}

// ackedFor ends a probe whose target answered to a helper.
func (d *Detector) ackedFor(p Packet) {
	if pr, ok := d.probes[p.Seq]; ok && pr.target == p.Target {
		delete(d.probes, p.Seq)
	}
}
