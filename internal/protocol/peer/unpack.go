package peer

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// unpack restores an envelope whose names have been expanded.
func unpack(w wireEnvelope, e ends) (Envelope, error) {
	var env Envelope
	var err error
	switch {
	case w.Enqueue != nil:
		env.Enqueue = unpackEnqueue(w.Enqueue, e.sender)
	case w.Running != nil:
		m := w.Running
		env.Running = &message.Running{Shard: splitShard(m.Shard), Ref: m.ref(e.sender), Team: ident.TeamID(m.Team.text),
			Backend: ident.BackendID(m.Backend.text), Cost: ident.Cost(m.Cost)}
	case w.Cancel != nil:
		env.Cancel = &message.Cancel{Shard: splitShard(w.Cancel.Shard), Ref: w.Cancel.ref(e.sender)}
	case w.Grant != nil:
		m := w.Grant
		env.Grant = &message.Grant{Shard: splitShard(m.Shard), Ref: m.ref(e.receiver), Backend: ident.BackendID(m.Backend.text),
			Fence: or(m.Fence, uint64(e.sender.Incarnation)), Lag: m.Lag, Generation: ident.Generation(m.Generation)}
	case w.Reject != nil:
		m := w.Reject
		env.Reject = &message.Reject{Shard: splitShard(m.Shard), Ref: m.ref(e.receiver), Reason: message.RejectReason(m.Reason),
			RetryAfterMS: m.RetryAfterMS}
	case w.Redirect != nil:
		m := w.Redirect
		env.Redirect = &message.Redirect{Shard: splitShard(m.Shard), Ref: m.ref(e.receiver), To: m.To}
	case w.Progress != nil:
		m := w.Progress
		env.Progress = &message.Progress{Shard: splitShard(m.Shard), Ref: m.ref(e.sender), Cost: ident.Cost(m.Cost)}
	case w.Settle != nil:
		m := w.Settle
		env.Settle = &message.Settle{Shard: splitShard(m.Shard), Ref: m.ref(e.sender), Cost: ident.Cost(m.Cost),
			Result: message.SettleResult(m.Result), RunMS: m.RunMS}
	case w.ServiceDelta != nil:
		m := w.ServiceDelta
		env.ServiceDelta = &message.ServiceDelta{Shard: splitShard(m.Shard),
			To: m.To, Team: ident.TeamID(m.Team.text), Delta: ident.Cost(m.Delta), Seq: m.Seq,
			Epoch: or(m.Epoch, uint64(e.sender.Incarnation))}
	case w.FreeSlots != nil:
		m := w.FreeSlots
		env.FreeSlots = &message.FreeSlots{Shard: splitShard(m.Shard),
			To: m.To, Count: m.Count}
	case w.Takeover != nil:
		m := w.Takeover
		env.Takeover = &message.Takeover{Shard: ident.ShardID{Pool: ident.PoolID(m.Pool.text), Index: m.Index}}
	case w.Membership != nil:
		env.Membership, err = unpackPacket(w.Membership, e)
	}
	return env, err
}

// unpackEnqueue restores an Enqueue.
func unpackEnqueue(m *wireEnqueue, owner Party) *message.Enqueue {
	return &message.Enqueue{
		Shard: splitShard(m.Shard), Ref: m.ref(owner), Team: ident.TeamID(m.Team.text), Hint: ident.Cost(m.Hint),
		DeadlineMS: m.DeadlineMS, Prefix: m.Prefix, Domain: ident.DomainID(m.Domain.text), Exclude: backendIDs(m.Exclude),
		Lag: m.Lag, WaitedMS: m.WaitedMS, Redirected: m.Redirected,
	}
}

// unpackPacket restores a membership packet.
func unpackPacket(w *wirePacket, e ends) (*membership.Packet, error) {
	p := &membership.Packet{Kind: membership.Kind(w.Kind), Seq: w.Seq, Target: ident.RouterID(w.Target.text)}
	p.Joining = w.Joining
	from, err := w.From.member(e.sender)
	if err != nil {
		return p, inside("membership.from", err)
	}
	p.From = from
	for i, u := range w.Updates {
		m, err := u.member(e.sender)
		if err != nil {
			return p, inside(place("membership.updates", i), err)
		}
		p.Updates = append(p.Updates, membership.Update{Member: m, SuspectMS: u.SuspectMS})
	}
	return p, nil
}

// count returns how many messages the envelope holds.
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

// names returns all names of the message, in an order that both ends share.
func (w *wireEnvelope) names() []*name {
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
		return []*name{&w.ServiceDelta.Shard, &w.ServiceDelta.Team}
	case w.FreeSlots != nil:
		return []*name{&w.FreeSlots.Shard}
	case w.Takeover != nil:
		return []*name{&w.Takeover.Pool}
	case w.Membership != nil:
		return w.Membership.names()
	}
	return nil
}

// names returns the names of the head.
func (h *wireHead) names() []*name { return []*name{&h.Router, &h.Shard} }

// names returns the names of the packet.
func (w *wirePacket) names() []*name {
	list := []*name{&w.Target, &w.From.Identity}
	for i := range w.Updates {
		list = append(list, &w.Updates[i].Identity)
	}
	return list
}

// head returns the message's head and which end owns its request unless the head says otherwise. ServiceDelta, FreeSlots
// and Membership have none.
func (w *wireEnvelope) head() (*wireHead, owner) {
	switch {
	case w.Enqueue != nil:
		return &w.Enqueue.wireHead, ownerSender
	case w.Running != nil:
		return &w.Running.wireHead, ownerSender
	case w.Cancel != nil:
		return &w.Cancel.wireHead, ownerSender
	case w.Grant != nil:
		return &w.Grant.wireHead, ownerReceiver
	case w.Reject != nil:
		return &w.Reject.wireHead, ownerReceiver
	case w.Redirect != nil:
		return &w.Redirect.wireHead, ownerReceiver
	case w.Progress != nil:
		return &w.Progress.wireHead, ownerSender
	case w.Settle != nil:
		return &w.Settle.wireHead, ownerSender
	}
	return nil, ownerSender
}
