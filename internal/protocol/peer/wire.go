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
	Takeover     *wireTakeover `cbor:"12,keyasint,omitempty"`
}

// wireHead is the shard and the reference that most messages start with. Router and Incarnation are left out when the
// request belongs to the end that the kind of message implies; Attempt is left out when it is 1. Seq is then the
// difference to the previous sequence number of that end on this connection, which is small.
type wireHead struct {
	Seq         int64  `cbor:"1,keyasint,omitempty"`
	Attempt     uint32 `cbor:"2,keyasint,omitempty"`
	Router      name   `cbor:"3,keyasint,omitzero"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	Shard       name   `cbor:"5,keyasint,omitzero"`
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
	Shard name   `cbor:"1,keyasint,omitzero"`
	To    uint16 `cbor:"3,keyasint,omitempty"`
	Team  name   `cbor:"4,keyasint,omitzero"`
	Delta int64  `cbor:"5,keyasint,omitempty"`
	Seq   uint64 `cbor:"6,keyasint,omitempty"`
	// Epoch is left out when it is the sender's incarnation.
	Epoch *uint64 `cbor:"7,keyasint,omitempty"`
}

type wireFree struct {
	Shard name   `cbor:"1,keyasint,omitzero"`
	To    uint16 `cbor:"3,keyasint,omitempty"`
	Count uint16 `cbor:"4,keyasint,omitempty"`
}

type wireTakeover struct {
	Pool  name   `cbor:"1,keyasint,omitzero"`
	Index uint16 `cbor:"2,keyasint,omitempty"`
}

// wireMember is a row of the member table. Identity joins what stays the same while the process lives, so that all of it
// travels as one index after its first use; it is left out for the sender's row without addresses. State is left out when it is alive.
type wireMember struct {
	Identity   name   `cbor:"1,keyasint,omitzero"`
	Version    uint32 `cbor:"2,keyasint,omitempty"`
	State      uint8  `cbor:"3,keyasint,omitempty"`
	Draining   bool   `cbor:"4,keyasint,omitempty"`
	Generation uint64 `cbor:"5,keyasint,omitempty"`
	Load       uint32 `cbor:"6,keyasint,omitempty"`
	SuspectMS  uint32 `cbor:"7,keyasint,omitempty"`
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
	h := wireHead{Seq: int64(ref.Request.Seq), Shard: packShard(shard)}
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
	ref.Request = ident.RequestRef{Router: owner.Router, Incarnation: owner.Incarnation, Seq: uint64(h.Seq)}
	if !h.Router.IsZero() {
		ref.Request.Router = ident.RouterID(h.Router.text)
		ref.Request.Incarnation = ident.Incarnation(h.Incarnation)
	}
	return ref
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
		w.ServiceDelta = &wireDelta{Shard: packShard(m.Shard), To: m.To,
			Team: name{text: string(m.Team)}, Delta: int64(m.Delta), Seq: m.Seq,
			Epoch: unless(uint64(e.sender.Incarnation), m.Epoch)}
	case env.FreeSlots != nil:
		m := env.FreeSlots
		w.FreeSlots = &wireFree{Shard: packShard(m.Shard), To: m.To, Count: m.Count}
	case env.Takeover != nil:
		m := env.Takeover
		w.Takeover = &wireTakeover{Pool: name{text: string(m.Shard.Pool)}, Index: m.Shard.Index}
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
	w.From = packMember(p.From, 0, e.sender)
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, packMember(u.Member, u.SuspectMS, e.sender))
	}
	return w
}
