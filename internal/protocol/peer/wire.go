package peer

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// wireEnvelope is the wire form of an Envelope. The keys are the values of Class.
type wireEnvelope struct {
	Enqueue      *wireEnqueue      `cbor:"1,keyasint,omitempty"`
	Running      *wireRunning      `cbor:"2,keyasint,omitempty"`
	Cancel       *wireCancel       `cbor:"3,keyasint,omitempty"`
	Grant        *wireGrant        `cbor:"4,keyasint,omitempty"`
	Reject       *wireReject       `cbor:"5,keyasint,omitempty"`
	Redirect     *wireRedirect     `cbor:"6,keyasint,omitempty"`
	Progress     *wireProgress     `cbor:"7,keyasint,omitempty"`
	Settle       *wireSettle       `cbor:"8,keyasint,omitempty"`
	ServiceDelta *wireServiceDelta `cbor:"9,keyasint,omitempty"`
	FreeSlots    *wireFreeSlots    `cbor:"10,keyasint,omitempty"`
	Membership   *wirePacket       `cbor:"11,keyasint,omitempty"`
	Takeover     *wireTakeover     `cbor:"12,keyasint,omitempty"`
}

// wireHeader contains the shard and the attempt reference that most messages start with. Router and Incarnation are
// omitted if the request belongs to the endpoint that the type of the message implies. Seq is then the difference to
// the previous sequence number of that endpoint on this connection, which is small. Attempt is omitted if it is 1.
type wireHeader struct {
	Seq         int64    `cbor:"1,keyasint,omitempty"`
	Attempt     uint32   `cbor:"2,keyasint,omitempty"`
	Router      wireName `cbor:"3,keyasint,omitzero"`
	Incarnation uint64   `cbor:"4,keyasint,omitempty"`
	Shard       wireName `cbor:"5,keyasint,omitzero"`
}

type wireEnqueue struct {
	wireHeader
	Team       wireName   `cbor:"7,keyasint,omitzero"`
	Hint       int64      `cbor:"8,keyasint,omitempty"`
	DeadlineMS uint32     `cbor:"9,keyasint,omitempty"`
	Prefix     []uint64   `cbor:"10,keyasint,omitempty"`
	Domain     wireName   `cbor:"11,keyasint,omitzero"`
	Exclude    []wireName `cbor:"12,keyasint,omitempty"`
	Lag        int64      `cbor:"13,keyasint,omitempty"`
	WaitedMS   uint32     `cbor:"14,keyasint,omitempty"`
	Redirected bool       `cbor:"15,keyasint,omitempty"`
}

type wireRunning struct {
	wireHeader
	Team    wireName `cbor:"7,keyasint,omitzero"`
	Backend wireName `cbor:"8,keyasint,omitzero"`
	Cost    int64    `cbor:"9,keyasint,omitempty"`
}

type wireCancel struct {
	wireHeader
}

type wireGrant struct {
	wireHeader
	Backend wireName `cbor:"7,keyasint,omitzero"`
	// Fence is omitted if it is the sender's incarnation.
	Fence      *uint64 `cbor:"8,keyasint,omitempty"`
	Lag        int64   `cbor:"9,keyasint,omitempty"`
	Generation uint64  `cbor:"10,keyasint,omitempty"`
}

type wireReject struct {
	wireHeader
	Reason       uint8  `cbor:"7,keyasint,omitempty"`
	RetryAfterMS uint32 `cbor:"8,keyasint,omitempty"`
}

type wireRedirect struct {
	wireHeader
	To uint16 `cbor:"7,keyasint,omitempty"`
}

type wireProgress struct {
	wireHeader
	Cost int64 `cbor:"7,keyasint,omitempty"`
}

type wireSettle struct {
	wireHeader
	Cost   int64  `cbor:"7,keyasint,omitempty"`
	Result uint8  `cbor:"8,keyasint,omitempty"`
	RunMS  uint32 `cbor:"9,keyasint,omitempty"`
}

type wireServiceDelta struct {
	Shard wireName `cbor:"1,keyasint,omitzero"`
	To    uint16   `cbor:"3,keyasint,omitempty"`
	Team  wireName `cbor:"4,keyasint,omitzero"`
	Delta int64    `cbor:"5,keyasint,omitempty"`
	Seq   uint64   `cbor:"6,keyasint,omitempty"`
	// Epoch is omitted if it is the sender's incarnation.
	Epoch *uint64 `cbor:"7,keyasint,omitempty"`
}

type wireFreeSlots struct {
	Shard wireName `cbor:"1,keyasint,omitzero"`
	To    uint16   `cbor:"3,keyasint,omitempty"`
	Count uint16   `cbor:"4,keyasint,omitempty"`
}

type wireTakeover struct {
	Pool  wireName `cbor:"1,keyasint,omitzero"`
	Index uint16   `cbor:"2,keyasint,omitempty"`
}

// wireMember is a row of the member table. Identity joins the fields that do not change during the lifetime of a
// process, so that one ring index replaces all of them after their first use. It is omitted for the sender's own row
// without addresses and domain. State is omitted if the member is alive.
type wireMember struct {
	Identity   wireName `cbor:"1,keyasint,omitzero"`
	Version    uint32   `cbor:"2,keyasint,omitempty"`
	State      uint8    `cbor:"3,keyasint,omitempty"`
	Draining   bool     `cbor:"4,keyasint,omitempty"`
	Generation uint64   `cbor:"5,keyasint,omitempty"`
	Load       uint32   `cbor:"6,keyasint,omitempty"`
	SuspectMS  uint32   `cbor:"7,keyasint,omitempty"`
}

type wirePacket struct {
	Kind    uint8        `cbor:"1,keyasint,omitempty"`
	Seq     uint32       `cbor:"2,keyasint,omitempty"`
	Target  wireName     `cbor:"3,keyasint,omitzero"`
	From    wireMember   `cbor:"4,keyasint"`
	Joining bool         `cbor:"5,keyasint,omitempty"`
	Updates []wireMember `cbor:"6,keyasint,omitempty"`
}

// endpoints are the two endpoints of one direction of a connection.
type endpoints struct{ sender, receiver Endpoint }

// packHeader returns the header of a message. It omits the router and the incarnation if the request belongs to owner.
func packHeader(ref ident.AttemptRef, shard ident.ShardID, owner Endpoint) wireHeader {
	h := wireHeader{Seq: int64(ref.Request.Seq), Shard: packShard(shard)}
	if ref.Attempt != 1 {
		h.Attempt = ref.Attempt
	}
	if ref.Request.Router != owner.Router || ref.Request.Incarnation != owner.Incarnation {
		h.Router = wireName{text: string(ref.Request.Router)}
		h.Incarnation = uint64(ref.Request.Incarnation)
	}
	return h
}

// unpackRef returns the attempt reference of a header. owner is the endpoint that owns the request if the header does
// not name a router.
func (h wireHeader) unpackRef(owner Endpoint) ident.AttemptRef {
	ref := ident.AttemptRef{Attempt: max(h.Attempt, 1)}
	ref.Request = ident.RequestRef{Router: owner.Router, Incarnation: owner.Incarnation, Seq: uint64(h.Seq)}
	if !h.Router.IsZero() {
		ref.Request.Router = ident.RouterID(h.Router.text)
		ref.Request.Incarnation = ident.Incarnation(h.Incarnation)
	}
	return ref
}

// omitIfImplied returns nil if v equals the value that the receiver assumes when the field is omitted, and a pointer to
// v otherwise.
func omitIfImplied(implied, v uint64) *uint64 {
	if v == implied {
		return nil
	}
	return &v
}

// valueOrImplied returns *v, or the implied value if the field was omitted.
func valueOrImplied(v *uint64, implied uint64) uint64 {
	if v == nil {
		return implied
	}
	return *v
}

// packBackendIDs converts the ids of backend servers to names.
func packBackendIDs(list []ident.BackendID) []wireName {
	var out []wireName
	for _, b := range list {
		out = append(out, wireName{text: string(b)})
	}
	return out
}

// unpackBackendIDs converts names to the ids of backend servers.
func unpackBackendIDs(list []wireName) []ident.BackendID {
	var out []ident.BackendID
	for _, n := range list {
		out = append(out, ident.BackendID(n.text))
	}
	return out
}

// pack converts a message to its wire form. Requests belong to the sender of Enqueue, Running, Cancel, Progress and
// Settle, and to the receiver of Grant, Reject and Redirect.
func pack(env Envelope, e endpoints) wireEnvelope {
	var w wireEnvelope
	switch {
	case env.Enqueue != nil:
		w.Enqueue = packEnqueue(env.Enqueue, e.sender)
	case env.Running != nil:
		m := env.Running
		w.Running = &wireRunning{wireHeader: packHeader(m.Ref, m.Shard, e.sender), Team: wireName{text: string(m.Team)},
			Backend: wireName{text: string(m.Backend)}, Cost: int64(m.Cost)}
	case env.Cancel != nil:
		w.Cancel = &wireCancel{wireHeader: packHeader(env.Cancel.Ref, env.Cancel.Shard, e.sender)}
	case env.Grant != nil:
		m := env.Grant
		w.Grant = &wireGrant{wireHeader: packHeader(m.Ref, m.Shard, e.receiver),
			Backend: wireName{text: string(m.Backend)},
			Fence:   omitIfImplied(uint64(e.sender.Incarnation), m.Fence), Lag: m.Lag, Generation: uint64(m.Generation)}
	case env.Reject != nil:
		m := env.Reject
		w.Reject = &wireReject{wireHeader: packHeader(m.Ref, m.Shard, e.receiver), Reason: uint8(m.Reason),
			RetryAfterMS: m.RetryAfterMS}
	case env.Redirect != nil:
		m := env.Redirect
		w.Redirect = &wireRedirect{wireHeader: packHeader(m.Ref, m.Shard, e.receiver), To: m.To}
	case env.Progress != nil:
		m := env.Progress
		w.Progress = &wireProgress{wireHeader: packHeader(m.Ref, m.Shard, e.sender), Cost: int64(m.Cost)}
	case env.Settle != nil:
		m := env.Settle
		w.Settle = &wireSettle{wireHeader: packHeader(m.Ref, m.Shard, e.sender), Cost: int64(m.Cost),
			Result: uint8(m.Result), RunMS: m.RunMS}
	case env.ServiceDelta != nil:
		m := env.ServiceDelta
		w.ServiceDelta = &wireServiceDelta{Shard: packShard(m.Shard), To: m.To,
			Team: wireName{text: string(m.Team)}, Delta: int64(m.Delta), Seq: m.Seq,
			Epoch: omitIfImplied(uint64(e.sender.Incarnation), m.Epoch)}
	case env.FreeSlots != nil:
		m := env.FreeSlots
		w.FreeSlots = &wireFreeSlots{Shard: packShard(m.Shard), To: m.To, Count: m.Count}
	case env.Takeover != nil:
		m := env.Takeover
		w.Takeover = &wireTakeover{Pool: wireName{text: string(m.Shard.Pool)}, Index: m.Shard.Index}
	case env.Membership != nil:
		w.Membership = packPacket(env.Membership, e)
	}
	return w
}

// packEnqueue converts an Enqueue to its wire form.
func packEnqueue(m *message.Enqueue, owner Endpoint) *wireEnqueue {
	return &wireEnqueue{
		wireHeader: packHeader(m.Ref, m.Shard, owner), Team: wireName{text: string(m.Team)}, Hint: int64(m.Hint),
		DeadlineMS: m.DeadlineMS, Prefix: m.Prefix, Domain: wireName{text: string(m.Domain)},
		Exclude: packBackendIDs(m.Exclude), Lag: m.Lag, WaitedMS: m.WaitedMS, Redirected: m.Redirected,
	}
}

// packPacket converts a membership packet to its wire form.
func packPacket(p *membership.Packet, e endpoints) *wirePacket {
	w := &wirePacket{Kind: uint8(p.Kind), Seq: p.Seq, Target: wireName{text: string(p.Target)}, Joining: p.Joining}
	w.From = packMember(p.From, 0, e.sender)
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, packMember(u.Member, u.SuspectMS, e.sender))
	}
	return w
}
