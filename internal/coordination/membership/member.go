package membership

import (
	"cmp"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// State is a member's state as the detector sees it.
type State uint8

// The states of a member. At equal incarnation and version, the higher state overrides the lower.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Live reports whether a member in this state counts as live.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is one row of the member table.
type Member struct {
	ID ident.RouterID
	// Incarnation identifies the process. It changes only when the router restarts.
	Incarnation ident.Incarnation
	// Version orders updates about one process. A member raises it to refute a suspicion and to change Draining. It is
	// separate from Incarnation because request references contain the incarnation and must survive a refutation.
	Version    uint32
	PeerAddr   string
	CallerAddr string
	Domain     ident.DomainID
	State      State
	Draining   bool
	Generation ident.Generation
	// Load is the number of requests that the router holds.
	Load uint32
}

// newerThan reports whether m has a higher incarnation than o, or the same one with a higher version.
func (m Member) newerThan(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Version > o.Version
}

// brief returns the row without addresses and domain, which most receivers know already.
func (m Member) brief() Member {
	m.PeerAddr, m.CallerAddr, m.Domain = "", "", ""
	return m
}

// fillFrom returns the row with the addresses and domain that it lacks taken from an older row.
func (m Member) fillFrom(old Member) Member {
	m.PeerAddr = cmp.Or(m.PeerAddr, old.PeerAddr)
	m.CallerAddr = cmp.Or(m.CallerAddr, old.CallerAddr)
	m.Domain = cmp.Or(m.Domain, old.Domain)
	return m
}

// updateAddresses takes over the addresses and domain that a member reports about itself.
func (m *Member) updateAddresses(reported Member) {
	reported = reported.fillFrom(*m)
	m.PeerAddr, m.CallerAddr, m.Domain = reported.PeerAddr, reported.CallerAddr, reported.Domain
}

// sameVersion reports whether both rows have the same incarnation and version.
func (m Member) sameVersion(o Member) bool {
	return m.Incarnation == o.Incarnation && m.Version == o.Version
}

// Candidate is an entry of the VM list.
type Candidate struct {
	ID       ident.RouterID
	PeerAddr string
	Domain   ident.DomainID
}

// Update is a row that members pass on to each other. Addresses and domain may be empty.
type Update struct {
	Member Member
	// SuspectMS is how long a suspect has been suspected, in milliseconds, so that all members declare it dead at the same
	// time.
	SuspectMS uint32
}

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets.
const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or reports that Target answered a ping sent for a PingReq.
	Ack
	// PingReq asks the receiver to ping Target.
	PingReq
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Ping:
		return "ping"
	case Ack:
		return "ack"
	case PingReq:
		return "ping-req"
	}
	return "unknown"
}

// Packet is a message of the failure detector.
type Packet struct {
	Kind Kind
	// Seq numbers the sender's pings; an Ack repeats the number of the ping or ping-req that it answers.
	Seq uint32
	// Target is the member to ping (PingReq), or the member that answered a relayed ping (Ack).
	Target ident.RouterID
	// From is the sender's own row. Addresses and domain are empty where the receiver knows them.
	From Member
	// Joining says that the sender's view is stale or lacks the receiver's addresses, and asks for rows with addresses.
	Joining bool
	// Updates holds at most MaxUpdates rows of other members.
	Updates []Update
}

// Outbound is a packet to send.
type Outbound struct {
	To     ident.RouterID
	Packet Packet
}

// row is a row of the member table with the detector's local state.
type row struct {
	Member
	// gossipLeft is how many more packets carry this row as an update.
	gossipLeft int
	// lastAcked is the sending time of the latest ping that the member answered directly, valid if hasAcked.
	lastAcked time.Duration
	hasAcked  bool
	// since is when the member entered its state; for a suspect, the sending time of the first unanswered ping.
	since time.Duration
	// listed says that the member is in the VM list.
	listed bool
	// known is false for a candidate that was never live.
	known bool
	// outdated says that the member's latest packet had an older incarnation or version than its row, for example after a
	// restart with a clock that went back. The member must learn of its row to choose a higher one.
	outdated bool
	// joining says that the member's latest packet asked for rows with addresses.
	joining bool
	// hasSelfAddresses says that the member answered a ping that had this router's addresses.
	hasSelfAddresses bool
}
