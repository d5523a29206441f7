package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// gossipFactor multiplied by the number of decimal digits of the member count is how many packets carry an update. Each
// of these packets reaches a random member, so the update spreads to all members with high probability; the rows added
// by appendFillers reach the others.
const gossipFactor = 4

// announce adds a row to the next packets as an update.
func (d *Detector) announce(r *row) {
	r.gossipLeft = gossipFactor * len(strconv.Itoa(len(d.sortedRows)))
	d.publishNow = true
}

// packet builds a packet with updates for the receiver.
func (d *Detector) packet(now time.Duration, kind Kind, seq uint32, to *row) Packet {
	p := Packet{Kind: kind, Seq: seq, From: d.self.Member, Joining: d.stale || lacksAddress(to)}
	if to.hasSelfAddresses && !to.joining {
		p.From = p.From.brief()
	}
	// A receiver that is suspected, or whose row is newer than its packets, must learn of that first, to refute it.
	if to.known && (to.State != Alive || to.outdated) {
		p.Updates = append(p.Updates, d.updateFor(now, to))
	}
	p.Updates = d.appendUrgent(now, p.Updates, to)
	if to.joining {
		return d.fillForJoiner(now, p, to)
	}
	if kind == Ping {
		p.Updates = d.appendFillers(now, p.Updates, to, min(len(p.Updates)+antiEntropyRows, MaxUpdates))
	}
	return p
}

// lacksAddress reports whether a member became known only through rows without addresses. Its hasSelfAddresses can be
// wrong after overlapping restarts of both routers, so this router asks it for full rows.
func lacksAddress(r *row) bool { return r.known && r.PeerAddr == "" }

// fillForJoiner fills a packet to a joining member with rows that include addresses.
func (d *Detector) fillForJoiner(now time.Duration, p Packet, to *row) Packet {
	p.Updates = d.appendFillers(now, p.Updates, to, MaxUpdates)
	for i, u := range p.Updates {
		if r := d.rows[u.Member.ID]; r.State == Alive {
			p.Updates[i].Member = r.Member
		}
	}
	return p
}

// appendUrgent appends the updates that are most urgent to pass on.
func (d *Detector) appendUrgent(now time.Duration, list []Update, to *row) []Update {
	for _, r := range d.mostUrgent(MaxUpdates-len(list), to) {
		r.gossipLeft--
		u := d.updateFor(now, r)
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
	for _, r := range d.sortedRows {
		if r.gossipLeft == 0 || r == d.self || r == to || !r.known {
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

// byUrgency orders failures first, since requests wait for their detection, and then rows with the most packets left.
func byUrgency(a, b *row) int {
	if a.State == Alive != (b.State == Alive) {
		return cmp.Compare(boolRank(a.State == Alive), boolRank(b.State == Alive))
	}
	return cmp.Compare(b.gossipLeft, a.gossipLeft)
}

// boolRank returns 0 for false and 1 for true, so that false sorts first.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// appendFillers appends live rows from a random position on until the list has n entries.
func (d *Detector) appendFillers(now time.Duration, list []Update, to *row, n int) []Update {
	start := d.rand.IntN(len(d.sortedRows))
	for i := range d.sortedRows {
		if len(list) >= n {
			break
		}
		r := d.sortedRows[(start+i)%len(d.sortedRows)]
		if r == d.self || r == to || !r.known || !r.State.Live() || contains(list, r) {
			continue
		}
		list = append(list, d.updateFor(now, r))
	}
	return list
}

// contains reports whether the list has an update about the row's member.
func contains(list []Update, r *row) bool {
	return slices.ContainsFunc(list, func(u Update) bool { return u.Member.ID == r.ID })
}

// updateFor returns this router's knowledge of a member, without addresses.
func (d *Detector) updateFor(now time.Duration, r *row) Update {
	u := Update{Member: r.brief()}
	if r.State == Suspect {
		u.SuspectMS = uint32(max(now-r.since, 0) / time.Millisecond)
	}
	return u
}

// Leave announces that this router shuts down, and returns the packets to send. Members that learn of it remove the
// router from their live members at once.
func (d *Detector) Leave(now time.Duration) []Outbound {
	d.self.State = Left
	d.announce(d.self)
	var out []Outbound
	for _, r := range d.randomAlive("", leaveFanout) {
		d.seq++
		out = append(out, Outbound{To: r.ID, Packet: d.packet(now, Ping, d.seq, r)})
	}
	d.publishIfChanged()
	return out
}
