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
	// deadline ends the direct ping, then the indirect pings.
	deadline time.Duration
	indirect bool
	// contact marks a ping to a router that is not live; its silence changes nothing.
	contact bool
	// regular marks a ping to a member whose turn it was. Only these are samples of the fleet.
	regular bool
	// full says that the ping had this router's addresses.
	full bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	requester ident.RouterID
	seq       uint32
	target    ident.RouterID
	deadline  time.Duration
}

// round starts the pings of one period.
func (d *Detector) round(now time.Duration, out []Outbound) []Outbound {
	var targets []*row
	for len(targets) < Fanout {
		r := d.nextTarget(targets)
		if r == nil {
			break
		}
		targets = append(targets, r)
		out = append(out, d.ping(now, r, false))
		d.probes[d.seq].regular = true
	}
	out = d.pingSuspects(now, targets, out)
	contacts := contactPings + Fanout - len(targets)
	return d.pingContacts(now, contacts, out)
}

// nextTarget returns the next live member in shuffled order that is not yet among the targets, or nil.
func (d *Detector) nextTarget(targets []*row) *row {
	for fresh := false; ; fresh = true {
		for len(d.rotation) > 0 {
			r := d.rows[d.rotation[0]]
			d.rotation = d.rotation[1:]
			if r != nil && r.State.Live() && !slices.Contains(targets, r) {
				return r
			}
		}
		if fresh {
			return nil
		}
		d.shuffle()
	}
}

// shuffle refills the rotation with all live members.
func (d *Detector) shuffle() {
	for _, r := range d.order {
		if r != d.self && r.State.Live() {
			d.rotation = append(d.rotation, r.ID)
		}
	}
	d.rand.Shuffle(len(d.rotation), func(i, j int) {
		d.rotation[i], d.rotation[j] = d.rotation[j], d.rotation[i]
	})
}

// pingSuspects pings suspects beside the rotation, so that they can refute in time.
func (d *Detector) pingSuspects(now time.Duration, targets []*row, out []Outbound) []Outbound {
	for _, r := range d.pick(&d.suspects, suspectPings, func(r *row) bool { return r.State == Suspect }) {
		if !slices.Contains(targets, r) {
			out = append(out, d.ping(now, r, true))
		}
	}
	return out
}

// pingContacts pings candidates and dead members, so that late starters and healed partitions are found.
func (d *Detector) pingContacts(now time.Duration, n int, out []Outbound) []Outbound {
	for _, r := range d.pick(&d.contact, n, reachable) {
		out = append(out, d.ping(now, r, true))
	}
	return out
}

// reachable reports whether a row that is not live may answer a ping.
func reachable(r *row) bool {
	return !r.State.Live() && (r.listed || r.State == Dead)
}

// pick returns up to n rows that match, starting behind the last row picked with the same cursor.
func (d *Detector) pick(cursor *int, n int, match func(*row) bool) []*row {
	var picked []*row
	start := *cursor
	for i := range d.order {
		if len(picked) == n {
			break
		}
		at := (start + i) % len(d.order)
		r := d.order[at]
		if r == d.self || !match(r) {
			continue
		}
		picked = append(picked, r)
		*cursor = at + 1
	}
	return picked
}

// ping starts a probe.
func (d *Detector) ping(now time.Duration, r *row, contact bool) Outbound {
	d.seq++
	packet := d.packet(now, Ping, d.seq, r)
	full := packet.From == d.self.Member
	d.probes[d.seq] = &probe{target: r.ID, sent: now, deadline: now + ackTimeout, contact: contact, full: full}
	return Outbound{To: r.ID, Packet: packet}
}

// Probe pings a member out of turn. The daemon calls it when a link broke, so that a crash is found before the member's
// turn comes.
func (d *Detector) Probe(now time.Duration, id ident.RouterID) []Outbound {
	r := d.rows[id]
	if r == nil || r == d.self || r.State != Alive {
		return nil
	}
	return []Outbound{d.ping(now, r, false)}
}

// expireProbes sends indirect pings for late acks, and suspects members that did not answer those either.
func (d *Detector) expireProbes(now time.Duration, out []Outbound) []Outbound {
	budget := maxIndirect
	for _, seq := range d.expired(now) {
		p := d.probes[seq]
		if p.indirect || p.contact {
			delete(d.probes, seq)
			d.unanswered(now, p)
			continue
		}
		p.indirect = true
		if p.regular {
			d.addSample(sample{sent: p.sent})
			p.regular = false
		}
		p.deadline += indirectTimeout - ackTimeout
		for _, helper := range d.helpers(p.target, min(indirectPings, budget)) {
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

// expired returns the numbers of the probes past their deadline, in order.
func (d *Detector) expired(now time.Duration) []uint32 {
	var list []uint32
	for seq, p := range d.probes {
		if now >= p.deadline {
			list = append(list, seq)
		}
	}
	slices.Sort(list)
	return list
}

// unanswered suspects the target of a probe that nobody could reach.
func (d *Detector) unanswered(now time.Duration, p *probe) {
	r := d.rows[p.target]
	if p.contact || r == nil || r.State != Alive {
		return
	}
	if r.isHeard && r.heard > p.sent {
		return
	}
	d.setState(r, Suspect, p.sent)
}

// helpers returns up to n random alive members other than the target.
func (d *Detector) helpers(target ident.RouterID, n int) []*row {
	var list []*row
	for _, r := range d.order {
		if r != d.self && r.State == Alive && r.ID != target {
			list = append(list, r)
		}
	}
	d.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(max(n, 0), len(list))]
}
