package peer

import (
	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// unpack restores an envelope whose names have been expanded.
func unpack(w wireEnvelope, e ends) Envelope {
	var env Envelope
	switch {
	case w.Enqueue != nil:
		env.Enqueue = unpackEnqueue(w.Enqueue, e.sender)
	case w.Running != nil:
		m := w.Running
		env.Running = &message.Running{Shard: m.shard(), Ref: m.ref(e.sender), Team: ident.TeamID(m.Team.text),
			Backend: ident.BackendID(m.Backend.text), Cost: ident.Cost(m.Cost)}
	case w.Cancel != nil:
		env.Cancel = &message.Cancel{Shard: w.Cancel.shard(), Ref: w.Cancel.ref(e.sender)}
	case w.Grant != nil:
		m := w.Grant
		env.Grant = &message.Grant{Shard: m.shard(), Ref: m.ref(e.receiver), Backend: ident.BackendID(m.Backend.text),
			Fence: or(m.Fence, uint64(e.sender.Incarnation)), Lag: m.Lag, Generation: ident.Generation(m.Generation)}
	case w.Reject != nil:
		m := w.Reject
		env.Reject = &message.Reject{Shard: m.shard(), Ref: m.ref(e.receiver), Reason: message.RejectReason(m.Reason),
			RetryAfterMS: m.RetryAfterMS}
	case w.Redirect != nil:
		m := w.Redirect
		env.Redirect = &message.Redirect{Shard: m.shard(), Ref: m.ref(e.receiver), To: m.To}
	case w.Progress != nil:
		m := w.Progress
		env.Progress = &message.Progress{Shard: m.shard(), Ref: m.ref(e.sender), Cost: ident.Cost(m.Cost)}
	case w.Settle != nil:
		m := w.Settle
		env.Settle = &message.Settle{Shard: m.shard(), Ref: m.ref(e.sender), Cost: ident.Cost(m.Cost),
			Result: message.SettleResult(m.Result), RunMS: m.RunMS}
	case w.ServiceDelta != nil:
		m := w.ServiceDelta
		env.ServiceDelta = &message.ServiceDelta{Shard: ident.ShardID{Pool: ident.PoolID(m.Pool.text), Index: m.Index},
			To: m.To, Team: ident.TeamID(m.Team.text), Delta: ident.Cost(m.Delta), Seq: m.Seq,
			Epoch: or(m.Epoch, uint64(e.sender.Incarnation))}
	case w.FreeSlots != nil:
		m := w.FreeSlots
		env.FreeSlots = &message.FreeSlots{Shard: ident.ShardID{Pool: ident.PoolID(m.Pool.text), Index: m.Index},
			To: m.To, Count: m.Count}
	case w.Membership != nil:
		env.Membership = unpackPacket(w.Membership, e)
	}
	return env
}

// unpackEnqueue restores an Enqueue.
func unpackEnqueue(m *wireEnqueue, owner Party) *message.Enqueue {
	return &message.Enqueue{
		Shard: m.shard(), Ref: m.ref(owner), Team: ident.TeamID(m.Team.text), Hint: ident.Cost(m.Hint),
		DeadlineMS: m.DeadlineMS, Prefix: m.Prefix, Domain: ident.DomainID(m.Domain.text), Exclude: backendIDs(m.Exclude),
		Lag: m.Lag, WaitedMS: m.WaitedMS, Redirected: m.Redirected,
	}
}

// unpackPacket restores a membership packet.
func unpackPacket(w *wirePacket, e ends) *membership.Packet {
	p := &membership.Packet{Kind: membership.Kind(w.Kind), Seq: w.Seq, Target: ident.RouterID(w.Target.text)}
	p.Joining = w.Joining
	p.From = w.From.member(e)
	for _, u := range w.Updates {
		p.Updates = append(p.Updates, membership.Update{Member: u.member(e), SuspectMS: u.SuspectMS})
	}
	return p
}

// count returns how many messages the envelope holds.
func (w *wireEnvelope) count() int {
	n := 0
	for _, set := range []bool{w.Enqueue != nil, w.Running != nil, w.Cancel != nil, w.Grant != nil, w.Reject != nil,
		w.Redirect != nil, w.Progress != nil, w.Settle != nil, w.ServiceDelta != nil, w.FreeSlots != nil,
		w.Membership != nil} {
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
		return []*name{&w.ServiceDelta.Pool, &w.ServiceDelta.Team}
	case w.FreeSlots != nil:
		return []*name{&w.FreeSlots.Pool}
	case w.Membership != nil:
		return w.Membership.names()
	}
	return nil
}

// names returns the names of the head.
func (h *wireHead) names() []*name { return []*name{&h.Router, &h.Pool} }

// names returns the names of the packet.
func (w *wirePacket) names() []*name {
	list := append([]*name{&w.Target}, w.From.names()...)
	for i := range w.Updates {
		list = append(list, w.Updates[i].names()...)
	}
	return list
}

// names returns the names of the row.
func (w *wireMember) names() []*name {
	return []*name{&w.ID, &w.PeerAddr, &w.CallerAddr, &w.Domain}
}
