package peer

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// wireEnvelope is the form of an Envelope on the wire. Keys are the classes.
type wireEnvelope struct {
	Enqueue      *wireEnqueue  `cbor:"1,keyasint,omitempty"`
	Running      *wireRunning  `cbor:"2,keyasint,omitempty"`
	Cancel       *wireCancel   `cbor:"3,keyasint,omitempty"`
	Grant        *wireGrant    `cbor:"4,keyasint,omitempty"`
	Reject       *wireReject   `cbor:"5,keyasint,omitempty"`
	Redirect     *wireRedirect `cbor:"6,keyasint,omitempty"`
	Progress     *wireProgress `cbor:"7,keyasint,omitempty"`
	Settle       *wireSettle   `cbor:"8,keyasint,omitempty"`
	ServiceDelta *wireDelta    `cbor:"9,keyasint,omitempty"`
	FreeSlots    *wireFree     `cbor:"10,keyasint,omitempty"`
	Membership   *wirePacket   `cbor:"11,keyasint,omitempty"`
}

// wireHead is the shard and the reference that most messages start with. Router and Incarnation are left out when the
// request belongs to the end that the kind of message implies; Attempt is left out when it is 1.
type wireHead struct {
	Seq         uint64 `cbor:"1,keyasint"`
	Attempt     uint32 `cbor:"2,keyasint,omitempty"`
	Router      name   `cbor:"3,keyasint,omitzero"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	Pool        name   `cbor:"5,keyasint,omitzero"`
	Index       uint16 `cbor:"6,keyasint,omitempty"`
}

type wireEnqueue struct {
	wireHead
	Team       name     `cbor:"7,keyasint,omitzero"`
	Hint       int64    `cbor:"8,keyasint,omitempty"`
	DeadlineMS uint32   `cbor:"9,keyasint,omitempty"`
	Prefix     []uint64 `cbor:"10,keyasint,omitempty"`
	Domain     name     `cbor:"11,keyasint,omitzero"`
	Exclude    []name   `cbor:"12,keyasint,omitempty"`
	Lag        int64    `cbor:"13,keyasint,omitempty"`
	WaitedMS   uint32   `cbor:"14,keyasint,omitempty"`
	Redirected bool     `cbor:"15,keyasint,omitempty"`
}

type wireRunning struct {
	wireHead
	Team    name  `cbor:"7,keyasint,omitzero"`
	Backend name  `cbor:"8,keyasint,omitzero"`
	Cost    int64 `cbor:"9,keyasint,omitempty"`
}

type wireCancel struct {
	wireHead
}

type wireGrant struct {
	wireHead
	Backend name `cbor:"7,keyasint,omitzero"`
	// Fence is left out when it is the sender's incarnation.
	Fence      *uint64 `cbor:"8,keyasint,omitempty"`
	Lag        int64   `cbor:"9,keyasint,omitempty"`
	Generation uint64  `cbor:"10,keyasint,omitempty"`
}

type wireReject struct {
	wireHead
	Reason       uint8  `cbor:"7,keyasint,omitempty"`
	RetryAfterMS uint32 `cbor:"8,keyasint,omitempty"`
}

type wireRedirect struct {
	wireHead
	To uint16 `cbor:"7,keyasint,omitempty"`
}

type wireProgress struct {
	wireHead
	Cost int64 `cbor:"7,keyasint,omitempty"`
}

type wireSettle struct {
	wireHead
	Cost   int64  `cbor:"7,keyasint,omitempty"`
	Result uint8  `cbor:"8,keyasint,omitempty"`
	RunMS  uint32 `cbor:"9,keyasint,omitempty"`
}

type wireDelta struct {
	Pool  name   `cbor:"1,keyasint,omitzero"`
	Index uint16 `cbor:"2,keyasint,omitempty"`
	To    uint16 `cbor:"3,keyasint,omitempty"`
	Team  name   `cbor:"4,keyasint,omitzero"`
	Delta int64  `cbor:"5,keyasint,omitempty"`
	Seq   uint64 `cbor:"6,keyasint,omitempty"`
	// Epoch is left out when it is the sender's incarnation.
	Epoch *uint64 `cbor:"7,keyasint,omitempty"`
}

type wireFree struct {
	Pool  name   `cbor:"1,keyasint,omitzero"`
	Index uint16 `cbor:"2,keyasint,omitempty"`
	To    uint16 `cbor:"3,keyasint,omitempty"`
	Count uint16 `cbor:"4,keyasint,omitempty"`
}

// wireMember is a row of the member table. ID is left out when it is the sender; Incarnation when it is the sender's;
// State when it is alive.
type wireMember struct {
	ID          name    `cbor:"1,keyasint,omitzero"`
	Incarnation *uint64 `cbor:"2,keyasint,omitempty"`
	Version     uint32  `cbor:"3,keyasint,omitempty"`
	State       uint8   `cbor:"4,keyasint,omitempty"`
	PeerAddr    name    `cbor:"5,keyasint,omitzero"`
	CallerAddr  name    `cbor:"6,keyasint,omitzero"`
	Domain      name    `cbor:"7,keyasint,omitzero"`
	Draining    bool    `cbor:"8,keyasint,omitempty"`
	Generation  uint64  `cbor:"9,keyasint,omitempty"`
	Load        uint32  `cbor:"10,keyasint,omitempty"`
	SuspectMS   uint32  `cbor:"11,keyasint,omitempty"`
}

type wirePacket struct {
	Kind    uint8        `cbor:"1,keyasint,omitempty"`
	Seq     uint32       `cbor:"2,keyasint,omitempty"`
	Target  name         `cbor:"3,keyasint,omitzero"`
	From    wireMember   `cbor:"4,keyasint"`
	Joining bool         `cbor:"5,keyasint,omitempty"`
	Updates []wireMember `cbor:"6,keyasint,omitempty"`
}

// ends are the two ends of one direction of a connection.
type ends struct{ sender, receiver Party }

// packHead leaves out what the owner implies.
func packHead(ref ident.AttemptRef, shard ident.ShardID, owner Party) wireHead {
	h := wireHead{Seq: ref.Request.Seq, Pool: name{text: string(shard.Pool)}, Index: shard.Index}
	if ref.Attempt != 1 {
		h.Attempt = ref.Attempt
	}
	if ref.Request.Router != owner.Router || ref.Request.Incarnation != owner.Incarnation {
		h.Router = name{text: string(ref.Request.Router)}
		h.Incarnation = uint64(ref.Request.Incarnation)
	}
	return h
}

// ref restores the reference.
func (h wireHead) ref(owner Party) ident.AttemptRef {
	ref := ident.AttemptRef{Attempt: max(h.Attempt, 1)}
	ref.Request = ident.RequestRef{Router: owner.Router, Incarnation: owner.Incarnation, Seq: h.Seq}
	if !h.Router.IsZero() {
		ref.Request.Router = ident.RouterID(h.Router.text)
		ref.Request.Incarnation = ident.Incarnation(h.Incarnation)
	}
	return ref
}

// shard restores the shard.
func (h wireHead) shard() ident.ShardID {
	return ident.ShardID{Pool: ident.PoolID(h.Pool.text), Index: h.Index}
}

// unless leaves out a number that the other end can tell.
func unless(implied, v uint64) *uint64 {
	if v == implied {
		return nil
	}
	return &v
}

// or restores a number that may have been left out.
func or(v *uint64, implied uint64) uint64 {
	if v == nil {
		return implied
	}
	return *v
}

// packMember converts a row.
func packMember(m membership.Member, suspectMS uint32, e ends) wireMember {
	w := wireMember{
		Incarnation: unless(uint64(e.sender.Incarnation), uint64(m.Incarnation)),
		Version:     m.Version,
		PeerAddr:    name{text: m.PeerAddr},
		CallerAddr:  name{text: m.CallerAddr},
		Domain:      name{text: string(m.Domain)},
		Draining:    m.Draining,
		Generation:  uint64(m.Generation),
		Load:        m.Load,
		SuspectMS:   suspectMS,
	}
	if m.ID != e.sender.Router {
		w.ID = name{text: string(m.ID)}
	}
	if m.State != membership.Alive {
		w.State = uint8(m.State)
	}
	return w
}

// member restores a row.
func (w wireMember) member(e ends) membership.Member {
	m := membership.Member{
		ID:          e.sender.Router,
		Incarnation: ident.Incarnation(or(w.Incarnation, uint64(e.sender.Incarnation))),
		Version:     w.Version,
		PeerAddr:    w.PeerAddr.text,
		CallerAddr:  w.CallerAddr.text,
		Domain:      ident.DomainID(w.Domain.text),
		State:       membership.Alive,
		Draining:    w.Draining,
		Generation:  ident.Generation(w.Generation),
		Load:        w.Load,
	}
	if !w.ID.IsZero() {
		m.ID = ident.RouterID(w.ID.text)
	}
	if w.State != 0 {
		m.State = membership.State(w.State)
	}
	return m
}

// packNames converts a list of backend servers.
func packNames(list []ident.BackendID) []name {
	var out []name
	for _, b := range list {
		out = append(out, name{text: string(b)})
	}
	return out
}

// backendIDs restores a list of backend servers.
func backendIDs(list []name) []ident.BackendID {
	var out []ident.BackendID
	for _, n := range list {
		out = append(out, ident.BackendID(n.text))
	}
	return out
}

// pack converts an envelope. Requests belong to the sender of Enqueue, Running, Cancel, Progress and Settle, and to the
// receiver of Grant, Reject and Redirect.
func pack(env Envelope, e ends) wireEnvelope {
	var w wireEnvelope
	switch {
	case env.Enqueue != nil:
		w.Enqueue = packEnqueue(env.Enqueue, e.sender)
	case env.Running != nil:
		m := env.Running
		w.Running = &wireRunning{wireHead: packHead(m.Ref, m.Shard, e.sender), Team: name{text: string(m.Team)},
			Backend: name{text: string(m.Backend)}, Cost: int64(m.Cost)}
	case env.Cancel != nil:
		w.Cancel = &wireCancel{wireHead: packHead(env.Cancel.Ref, env.Cancel.Shard, e.sender)}
	case env.Grant != nil:
		m := env.Grant
		w.Grant = &wireGrant{wireHead: packHead(m.Ref, m.Shard, e.receiver), Backend: name{text: string(m.Backend)},
			Fence: unless(uint64(e.sender.Incarnation), m.Fence), Lag: m.Lag, Generation: uint64(m.Generation)}
	case env.Reject != nil:
		m := env.Reject
		w.Reject = &wireReject{wireHead: packHead(m.Ref, m.Shard, e.receiver), Reason: uint8(m.Reason),
			RetryAfterMS: m.RetryAfterMS}
	case env.Redirect != nil:
		m := env.Redirect
		w.Redirect = &wireRedirect{wireHead: packHead(m.Ref, m.Shard, e.receiver), To: m.To}
	case env.Progress != nil:
		m := env.Progress
		w.Progress = &wireProgress{wireHead: packHead(m.Ref, m.Shard, e.sender), Cost: int64(m.Cost)}
	case env.Settle != nil:
		m := env.Settle
		w.Settle = &wireSettle{wireHead: packHead(m.Ref, m.Shard, e.sender), Cost: int64(m.Cost),
			Result: uint8(m.Result), RunMS: m.RunMS}
	case env.ServiceDelta != nil:
		m := env.ServiceDelta
		w.ServiceDelta = &wireDelta{Pool: name{text: string(m.Shard.Pool)}, Index: m.Shard.Index, To: m.To,
			Team: name{text: string(m.Team)}, Delta: int64(m.Delta), Seq: m.Seq,
			Epoch: unless(uint64(e.sender.Incarnation), m.Epoch)}
	case env.FreeSlots != nil:
		m := env.FreeSlots
		w.FreeSlots = &wireFree{Pool: name{text: string(m.Shard.Pool)}, Index: m.Shard.Index, To: m.To, Count: m.Count}
	case env.Membership != nil:
		w.Membership = packPacket(env.Membership, e)
	}
	return w
}

// packEnqueue converts an Enqueue.
func packEnqueue(m *message.Enqueue, owner Party) *wireEnqueue {
	return &wireEnqueue{
		wireHead: packHead(m.Ref, m.Shard, owner), Team: name{text: string(m.Team)}, Hint: int64(m.Hint),
		DeadlineMS: m.DeadlineMS, Prefix: m.Prefix, Domain: name{text: string(m.Domain)}, Exclude: packNames(m.Exclude),
		Lag: m.Lag, WaitedMS: m.WaitedMS, Redirected: m.Redirected,
	}
}

// packPacket converts a membership packet.
func packPacket(p *membership.Packet, e ends) *wirePacket {
	w := &wirePacket{Kind: uint8(p.Kind), Seq: p.Seq, Target: name{text: string(p.Target)}, Joining: p.Joining}
	w.From = packMember(p.From, 0, e)
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, packMember(u.Member, u.SuspectMS, e))
	}
	return w
}
