package membership

import (
	"cmp"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// State is what the detector believes about a member.
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
	// Incarnation names the process. It changes only when the router restarts.
	Incarnation ident.Incarnation
	// Version orders statements about one process. A member raises it to refute a suspicion and to change Draining.
	// It is apart from Incarnation because request references hold the incarnation and must survive a refutation.
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

// newer reports whether m's process and version come after those of o.
func (m Member) newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Version > o.Version
}

// brief returns the row without addresses and domain, which receivers mostly know.
func (m Member) brief() Member {
	m.PeerAddr, m.CallerAddr, m.Domain = "", "", ""
	return m
}

// keep fills addresses and domain that a brief row lacks from what was known.
func (m Member) keep(old Member) Member {
	m.PeerAddr = cmp.Or(m.PeerAddr, old.PeerAddr)
	m.CallerAddr = cmp.Or(m.CallerAddr, old.CallerAddr)
	m.Domain = cmp.Or(m.Domain, old.Domain)
	return m
}

// relocate takes the addresses and domain that a member states of itself.
func (m *Member) relocate(stated Member) {
	stated = stated.keep(*m)
	m.PeerAddr, m.CallerAddr, m.Domain = stated.PeerAddr, stated.CallerAddr, stated.Domain
}

// same reports whether both rows speak of one process and version.
func (m Member) same(o Member) bool {
	return m.Incarnation == o.Incarnation && m.Version == o.Version
}

// Candidate is an entry of the VM list.
type Candidate struct {
	ID       ident.RouterID
	PeerAddr string
	Domain   ident.DomainID
}

// Update is a statement about a member that is passed on from member to member. Addresses and domain may be empty.
type Update struct {
	Member Member
	// SuspectMS is how long a suspect has been suspected, in milliseconds, so that all members time it out together.
	SuspectMS uint32
}

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets.
const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or passes on the answer of Target.
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
	// Joining says that the sender's view is stale or lacks the receiver's addresses, and asks for full rows.
	Joining bool
	// Updates holds at most MaxUpdates statements.
	Updates []Update
}

// Outbound is a packet to send.
type Outbound struct {
	To     ident.RouterID
	Packet Packet
}

// row is a member with the detector's own bookkeeping.
type row struct {
	Member
	// gossip is how many more packets pass this row on.
	gossip int
	// heard is the sending time of the latest ping that the member answered directly.
	heard   time.Duration
	isHeard bool
	// since is when the member entered its state; for a suspect, the sending time of the first unanswered ping.
	since  time.Duration
	listed bool
	// known is false for a candidate that was never live.
	known bool
	// behind says that the member's latest packet came from an older process or version than its row, as after a restart
	// with a clock that went back. It must hear of its row to move past it.
	behind bool
	// joining says that the member's latest packet asked for rows.
	joining bool
	// told says that the member answered a ping that had this router's addresses.
	told bool
}
