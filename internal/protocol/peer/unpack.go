package peer

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// unpack converts a message from its wire form. Its names and sequence number must have been expanded.
func unpack(w wireEnvelope, e endpoints) (Envelope, error) {
	var env Envelope
	var err error
	switch {
	case w.Enqueue != nil:
		env.Enqueue = unpackEnqueue(w.Enqueue, e.sender)
	case w.Running != nil:
		m := w.Running
		env.Running = &message.Running{Shard: unpackShard(m.Shard), Ref: m.unpackRef(e.sender),
			Team: ident.TeamID(m.Team.text), Backend: ident.BackendID(m.Backend.text), Cost: ident.Cost(m.Cost)}
	case w.Cancel != nil:
		env.Cancel = &message.Cancel{Shard: unpackShard(w.Cancel.Shard), Ref: w.Cancel.unpackRef(e.sender)}
	case w.Grant != nil:
		m := w.Grant
		env.Grant = &message.Grant{Shard: unpackShard(m.Shard), Ref: m.unpackRef(e.receiver),
			Backend: ident.BackendID(m.Backend.text),
			Fence:   valueOrImplied(m.Fence, uint64(e.sender.Incarnation)), Lag: m.Lag,
			Generation: ident.Generation(m.Generation)}
	case w.Reject != nil:
		m := w.Reject
		env.Reject = &message.Reject{Shard: unpackShard(m.Shard), Ref: m.unpackRef(e.receiver),
			Reason: message.RejectReason(m.Reason), RetryAfterMS: m.RetryAfterMS}
	case w.Redirect != nil:
		m := w.Redirect
		env.Redirect = &message.Redirect{Shard: unpackShard(m.Shard), Ref: m.unpackRef(e.receiver), To: m.To}
	case w.Progress != nil:
		m := w.Progress
		env.Progress = &message.Progress{Shard: unpackShard(m.Shard), Ref: m.unpackRef(e.sender),
			Cost: ident.Cost(m.Cost)}
	case w.Settle != nil:
		m := w.Settle
		env.Settle = &message.Settle{Shard: unpackShard(m.Shard), Ref: m.unpackRef(e.sender), Cost: ident.Cost(m.Cost),
			Result: message.SettleResult(m.Result), RunMS: m.RunMS}
	case w.ServiceDelta != nil:
		m := w.ServiceDelta
		env.ServiceDelta = &message.ServiceDelta{Shard: unpackShard(m.Shard),
			To: m.To, Team: ident.TeamID(m.Team.text), Delta: ident.Cost(m.Delta), Seq: m.Seq,
			Epoch: valueOrImplied(m.Epoch, uint64(e.sender.Incarnation))}
	case w.FreeSlots != nil:
		m := w.FreeSlots
		env.FreeSlots = &message.FreeSlots{Shard: unpackShard(m.Shard),
			To: m.To, Count: m.Count}
	case w.Takeover != nil:
		m := w.Takeover
		env.Takeover = &message.Takeover{Shard: ident.ShardID{Pool: ident.PoolID(m.Pool.text), Index: m.Index}}
	case w.Membership != nil:
		env.Membership, err = unpackPacket(w.Membership, e)
	}
	return env, err
}

// unpackEnqueue converts an Enqueue from its wire form.
func unpackEnqueue(m *wireEnqueue, owner Endpoint) *message.Enqueue {
	return &message.Enqueue{
		Shard: unpackShard(m.Shard), Ref: m.unpackRef(owner), Team: ident.TeamID(m.Team.text), Hint: ident.Cost(m.Hint),
		DeadlineMS: m.DeadlineMS, Prefix: m.Prefix, Domain: ident.DomainID(m.Domain.text),
		Exclude: unpackBackendIDs(m.Exclude), Lag: m.Lag, WaitedMS: m.WaitedMS, Redirected: m.Redirected,
	}
}

// unpackPacket converts a membership packet from its wire form.
func unpackPacket(w *wirePacket, e endpoints) (*membership.Packet, error) {
	p := &membership.Packet{Kind: membership.Kind(w.Kind), Seq: w.Seq, Target: ident.RouterID(w.Target.text)}
	p.Joining = w.Joining
	from, err := w.From.unpack(e.sender)
	if err != nil {
		return p, prefixPlace("membership.from", err)
	}
	p.From = from
	for i, u := range w.Updates {
		m, err := u.unpack(e.sender)
		if err != nil {
			return p, prefixPlace(elementPlace("membership.updates", i), err)
		}
		p.Updates = append(p.Updates, membership.Update{Member: m, SuspectMS: u.SuspectMS})
	}
	return p, nil
}

// count returns the number of messages in the envelope.
func (w *wireEnvelope) count() int {
	n := 0
	for _, set := range []bool{w.Enqueue != nil, w.Running != nil, w.Cancel != nil, w.Grant != nil, w.Reject != nil,
		w.Redirect != nil, w.Progress != nil, w.Settle != nil, w.ServiceDelta != nil, w.FreeSlots != nil,
		w.Takeover != nil, w.Membership != nil} {
		if set {
			n++
		}
	}
	return n
}

// names returns all names of the message. The order is the same at both endpoints, as the name rings require.
func (w *wireEnvelope) names() []*wireName {
	switch {
	case w.Enqueue != nil:
		m := w.Enqueue
		list := append(m.names(), &m.Team, &m.Domain)
		for i := range m.Exclude {
			list = append(list, &m.Exclude[i])
		}
		return list
	case w.Running != nil:
		return append(w.Running.names(), &w.Running.Team, &w.Running.Backend)
	case w.Cancel != nil:
		return w.Cancel.names()
	case w.Grant != nil:
		return append(w.Grant.names(), &w.Grant.Backend)
	case w.Reject != nil:
		return w.Reject.names()
	case w.Redirect != nil:
		return w.Redirect.names()
	case w.Progress != nil:
		return w.Progress.names()
	case w.Settle != nil:
		return w.Settle.names()
	case w.ServiceDelta != nil:
		return []*wireName{&w.ServiceDelta.Shard, &w.ServiceDelta.Team}
	case w.FreeSlots != nil:
		return []*wireName{&w.FreeSlots.Shard}
	case w.Takeover != nil:
		return []*wireName{&w.Takeover.Pool}
	case w.Membership != nil:
		return w.Membership.names()
	}
	return nil
}

// names returns the names in the header.
func (h *wireHeader) names() []*wireName { return []*wireName{&h.Router, &h.Shard} }

// names returns the names in the packet.
func (w *wirePacket) names() []*wireName {
	list := []*wireName{&w.Target, &w.From.Identity}
	for i := range w.Updates {
		list = append(list, &w.Updates[i].Identity)
	}
	return list
}

// header returns the message's header and the endpoint that owns the request, unless the header names another router.
// ServiceDelta, FreeSlots, Takeover and Membership have no header, for which it returns nil.
func (w *wireEnvelope) header() (*wireHeader, requestOwner) {
	switch {
	case w.Enqueue != nil:
		return &w.Enqueue.wireHeader, ownerSender
	case w.Running != nil:
		return &w.Running.wireHeader, ownerSender
	case w.Cancel != nil:
		return &w.Cancel.wireHeader, ownerSender
	case w.Grant != nil:
		return &w.Grant.wireHeader, ownerReceiver
	case w.Reject != nil:
		return &w.Reject.wireHeader, ownerReceiver
	case w.Redirect != nil:
		return &w.Redirect.wireHeader, ownerReceiver
	case w.Progress != nil:
		return &w.Progress.wireHeader, ownerSender
	case w.Settle != nil:
		return &w.Settle.wireHeader, ownerSender
	}
	return nil, ownerSender
}
