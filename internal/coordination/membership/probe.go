package membership

import (
	"slices"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// probe is a ping that waits for its ack.
type probe struct {
	target ident.RouterID
	sent   time.Duration
	// deadline is the timeout of the direct ping, then that of the indirect pings.
	deadline time.Duration
	// indirect says that the indirect pings were sent.
	indirect bool
	// ignoreTimeout marks a ping to a suspect or a router that is not live; a missing ack changes nothing.
	ignoreTimeout bool
	// inRotation marks a ping to a member whose turn it was in the rotation. Only these are samples of the fleet.
	inRotation bool
	// withAddresses says that the ping had this router's addresses.
	withAddresses bool
}

// relayedPing is a ping sent on behalf of another member.
type relayedPing struct {
	requester ident.RouterID
	// seq is the requester's number of the ping.
	seq      uint32
	target   ident.RouterID
	deadline time.Duration
}

// startRound sends the pings of one period.
func (d *Detector) startRound(now time.Duration, out []Outbound) []Outbound {
	var targets []*row
	for len(targets) < Fanout {
		r := d.nextTarget(targets)
		if r == nil {
			break
		}
		targets = append(targets, r)
		out = append(out, d.ping(now, r, false))
		d.probes[d.seq].inRotation = true
	}
	out = d.pingSuspects(now, targets, out)
	nonLive := nonLivePings + Fanout - len(targets)
	return d.pingNonLive(now, nonLive, out)
}

// nextTarget returns the next live member of the rotation that is not yet among the targets, or nil.
func (d *Detector) nextTarget(targets []*row) *row {
	for refilled := false; ; refilled = true {
		for len(d.rotation) > 0 {
			r := d.rows[d.rotation[0]]
			d.rotation = d.rotation[1:]
			if r != nil && r.State.Live() && !slices.Contains(targets, r) {
				return r
			}
		}
		if refilled {
			return nil
		}
		d.refillRotation()
	}
}

// refillRotation refills the rotation with all live members in random order.
func (d *Detector) refillRotation() {
	for _, r := range d.sortedRows {
		if r != d.self && r.State.Live() {
			d.rotation = append(d.rotation, r.ID)
		}
	}
	d.rand.Shuffle(len(d.rotation), func(i, j int) {
		d.rotation[i], d.rotation[j] = d.rotation[j], d.rotation[i]
	})
}

// pingSuspects pings suspects in addition to the rotation, so that they can refute the suspicion in time.
func (d *Detector) pingSuspects(now time.Duration, targets []*row, out []Outbound) []Outbound {
	for _, r := range d.pickNext(&d.suspectCursor, suspectPings, func(r *row) bool { return r.State == Suspect }) {
		if !slices.Contains(targets, r) {
			out = append(out, d.ping(now, r, true))
		}
	}
	return out
}

// pingNonLive pings candidates and dead members, to find routers that started late and partitions that healed.
func (d *Detector) pingNonLive(now time.Duration, n int, out []Outbound) []Outbound {
	for _, r := range d.pickNext(&d.nonLiveCursor, n, worthPinging) {
		out = append(out, d.ping(now, r, true))
	}
	return out
}

// worthPinging reports whether a row is not live but its router may answer a ping.
func worthPinging(r *row) bool {
	return !r.State.Live() && (r.listed || r.State == Dead)
}

// pickNext returns up to n rows that match, starting after the last row picked with the same cursor.
func (d *Detector) pickNext(cursor *int, n int, match func(*row) bool) []*row {
	var picked []*row
	start := *cursor
	for i := range d.sortedRows {
		if len(picked) == n {
			break
		}
		at := (start + i) % len(d.sortedRows)
		r := d.sortedRows[at]
		if r == d.self || !match(r) {
			continue
		}
		picked = append(picked, r)
		*cursor = at + 1
	}
	return picked
}

// ping starts a probe and returns its packet.
func (d *Detector) ping(now time.Duration, r *row, ignoreTimeout bool) Outbound {
	d.seq++
	packet := d.packet(now, Ping, d.seq, r)
	withAddresses := packet.From == d.self.Member
	d.probes[d.seq] = &probe{target: r.ID, sent: now, deadline: now + ackTimeout, ignoreTimeout: ignoreTimeout,
		withAddresses: withAddresses}
	return Outbound{To: r.ID, Packet: packet}
}

// Probe pings an alive member outside the rotation. The daemon calls it when a connection broke, to detect a crash
// before the member's turn comes.
func (d *Detector) Probe(now time.Duration, id ident.RouterID) []Outbound {
	r := d.rows[id]
	if r == nil || r == d.self || r.State != Alive {
		return nil
	}
	return []Outbound{d.ping(now, r, false)}
}

// expireProbes sends indirect pings for direct pings that timed out, and suspects members that did not answer those
// either.
func (d *Detector) expireProbes(now time.Duration, out []Outbound) []Outbound {
	budget := maxIndirectPerTick
	for _, seq := range d.expiredProbes(now) {
		p := d.probes[seq]
		if p.indirect || p.ignoreTimeout {
			delete(d.probes, seq)
			d.suspectUnanswered(now, p)
			continue
		}
		p.indirect = true
		if p.inRotation {
			d.addSample(sample{sent: p.sent})
			p.inRotation = false
		}
		p.deadline += indirectTimeout - ackTimeout
		for _, helper := range d.randomAlive(p.target, min(indirectPings, budget)) {
			budget--
			packet := d.packet(now, PingReq, seq, helper)
			packet.Target = p.target
			out = append(out, Outbound{To: helper.ID, Packet: packet})
		}
	}
	for seq, r := range d.relays {
		if now >= r.deadline {
			delete(d.relays, seq)
		}
	}
	return out
}

// expiredProbes returns the sequence numbers of the probes past their deadline, in ascending order.
func (d *Detector) expiredProbes(now time.Duration) []uint32 {
	var list []uint32
	for seq, p := range d.probes {
		if now >= p.deadline {
			list = append(list, seq)
		}
	}
	slices.Sort(list)
	return list
}

// suspectUnanswered suspects the target of a probe that neither the direct nor an indirect ping reached.
func (d *Detector) suspectUnanswered(now time.Duration, p *probe) {
	r := d.rows[p.target]
	if p.ignoreTimeout || r == nil || r.State != Alive {
		return
	}
	if r.hasAcked && r.lastAcked > p.sent {
		return
	}
	d.setState(r, Suspect, p.sent)
}

// randomAlive returns up to n random alive members other than the excluded one.
func (d *Detector) randomAlive(exclude ident.RouterID, n int) []*row {
	var list []*row
	for _, r := range d.sortedRows {
		if r != d.self && r.State == Alive && r.ID != exclude {
			list = append(list, r)
		}
	}
	d.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(max(n, 0), len(list))]
}
