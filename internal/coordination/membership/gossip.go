package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// gossipFactor times the digits of the number of members is how often a member passes an update on. Each packet that
// follows reaches a random member, so the news spreads to all with high probability; fillers find the rest.
const gossipFactor = 4

// announce passes a row on with the next packets.
func (d *Detector) announce(r *row) {
	r.gossip = gossipFactor * len(strconv.Itoa(len(d.order)))
	d.changed = true
}

// packet builds a packet with updates for the receiver.
func (d *Detector) packet(now time.Duration, kind Kind, seq uint32, to *row) Packet {
	p := Packet{Kind: kind, Seq: seq, From: d.self.Member, Joining: d.stale || lacksAddress(to)}
	if to.told && !to.joining {
		p.From = p.From.brief()
	}
	// A receiver that others doubt must hear it first, to refute.
	if to.known && (to.State != Alive || to.behind) {
		p.Updates = append(p.Updates, d.update(now, to))
	}
	p.Updates = d.news(now, p.Updates, to)
	if to.joining {
		return d.introduce(now, p, to)
	}
	if kind == Ping {
		p.Updates = d.fill(now, p.Updates, to, min(len(p.Updates)+fillers, MaxUpdates))
	}
	return p
}

// lacksAddress reports whether a member became known only through brief rows. Whether a member was told can be wrong after
// crossed restarts, so it asks.
func lacksAddress(r *row) bool { return r.known && r.PeerAddr == "" }

// introduce fills a packet to a member that has just started with full rows.
func (d *Detector) introduce(now time.Duration, p Packet, to *row) Packet {
	p.Updates = d.fill(now, p.Updates, to, MaxUpdates)
	for i, u := range p.Updates {
		if r := d.rows[u.Member.ID]; r.State == Alive {
			p.Updates[i].Member = r.Member
		}
	}
	return p
}

// news appends the rows that are most urgent to pass on.
func (d *Detector) news(now time.Duration, list []Update, to *row) []Update {
	for _, r := range d.mostUrgent(MaxUpdates-len(list), to) {
		r.gossip--
		u := d.update(now, r)
		if r.State == Alive {
			u.Member = r.Member
		}
		list = append(list, u)
	}
	return list
}

// mostUrgent returns up to n rows to pass on, in order of urgency.
func (d *Detector) mostUrgent(n int, to *row) []*row {
	best := make([]*row, 0, MaxUpdates+1)
	for _, r := range d.order {
		if r.gossip == 0 || r == d.self || r == to || !r.known {
			continue
		}
		if len(best) == n && (n == 0 || byUrgency(best[n-1], r) <= 0) {
			continue
		}
		at := len(best)
		for at > 0 && byUrgency(best[at-1], r) > 0 {
			at--
		}
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), n)]
	}
	return best
}

// byUrgency puts failures first, as requests wait for them, and then the rows passed on least so far.
func byUrgency(a, b *row) int {
	if a.State == Alive != (b.State == Alive) {
		return cmp.Compare(boolRank(a.State == Alive), boolRank(b.State == Alive))
	}
	return cmp.Compare(b.gossip, a.gossip)
}

// boolRank orders false before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fill appends random live rows until the list has n entries.
func (d *Detector) fill(now time.Duration, list []Update, to *row, n int) []Update {
	start := d.rand.IntN(len(d.order))
	for i := range d.order {
		if len(list) >= n {
			break
		}
		r := d.order[(start+i)%len(d.order)]
		if r == d.self || r == to || !r.known || !r.State.Live() || contains(list, r) {
			continue
		}
		list = append(list, d.update(now, r))
	}
	return list
}

// contains reports whether the list has an update about the row.
func contains(list []Update, r *row) bool {
	return slices.ContainsFunc(list, func(u Update) bool { return u.Member.ID == r.ID })
}

// update states what this router knows of a member, without addresses.
func (d *Detector) update(now time.Duration, r *row) Update {
	u := Update{Member: r.brief()}
	if r.State == Suspect {
		u.SuspectMS = uint32(max(now-r.since, 0) / time.Millisecond)
	}
	return u
}

// Leave announces that this router stops on purpose. Others remove it at once.
func (d *Detector) Leave(now time.Duration) []Outbound {
	d.self.State = Left
	d.announce(d.self)
	var out []Outbound
	for _, r := range d.helpers("", leaveFanout) {
		d.seq++
		out = append(out, Outbound{To: r.ID, Packet: d.packet(now, Ping, d.seq, r)})
	}
	d.settle()
	return out
}
