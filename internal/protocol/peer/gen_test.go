package peer

import (
	"math"
	"strings"

	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// The endpoints of the connection in tests.
var (
	ingress    = Endpoint{Router: "router-03", Incarnation: 1_790_000_000_123}
	dispatcher = Endpoint{Router: "router-07", Incarnation: 1_790_000_111_456}
)

// Some names are drawn repeatedly, so that tests cover indices, evictions and new names.
var (
	genText = rapid.OneOf(rapid.SampledFrom([]string{"a", "router-03", "router-07", "model/m"}),
		rapid.StringN(1, 20, MaxNameBytes).Filter(containsNoNUL))
	genOptionalText = rapid.OneOf(rapid.Just(""), genText)
	genCost         = rapid.Int64Range(0, math.MaxInt64)
)

func containsNoNUL(s string) bool { return !strings.Contains(s, "\x00") }

func drawText[T ~string](t *rapid.T) T { return T(genText.Draw(t, "text")) }

func genShard(t *rapid.T) ident.ShardID {
	return ident.ShardID{Pool: drawText[ident.PoolID](t), Index: rapid.Uint16().Draw(t, "index")}
}

func genRef(t *rapid.T) ident.AttemptRef {
	owner := rapid.SampledFrom([]Endpoint{
		ingress, dispatcher, {Router: "router-03", Incarnation: 0}, {Router: "x", Incarnation: 5},
	}).Draw(t, "owner")
	return ident.AttemptRef{
		Request: ident.RequestRef{Router: owner.Router, Incarnation: owner.Incarnation, Seq: rapid.Uint64().Draw(t, "seq")},
		Attempt: rapid.Uint32Min(1).Draw(t, "attempt"),
	}
}

func genMember(t *rapid.T) membership.Member {
	if rapid.Bool().Draw(t, "brief") {
		return membership.Member{ID: ingress.Router, Incarnation: ingress.Incarnation, State: membership.Alive}
	}
	return membership.Member{
		ID:          drawText[ident.RouterID](t),
		Incarnation: ident.Incarnation(rapid.Uint64Max(uint64(membership.MaxIncarnation)-1).Draw(t, "incarnation")),
		Version:     rapid.Uint32().Draw(t, "version"), PeerAddr: genOptionalText.Draw(t, "peer"),
		CallerAddr: genOptionalText.Draw(t, "caller"), Domain: ident.DomainID(genOptionalText.Draw(t, "domain")),
		State:    membership.State(rapid.IntRange(1, 4).Draw(t, "state")),
		Draining: rapid.Bool().Draw(t, "draining"), Generation: ident.Generation(rapid.Uint64().Draw(t, "generation")),
		Load: rapid.Uint32().Draw(t, "load"),
	}
}

func genPacket(t *rapid.T) *membership.Packet {
	p := &membership.Packet{
		Kind: membership.Kind(rapid.IntRange(1, 3).Draw(t, "kind")), Seq: rapid.Uint32().Draw(t, "seq"),
		Target: drawText[ident.RouterID](t), From: genMember(t), Joining: rapid.Bool().Draw(t, "joining"),
	}
	for range rapid.IntRange(0, membership.MaxUpdates).Draw(t, "updates") {
		p.Updates = append(p.Updates, membership.Update{Member: genMember(t), SuspectMS: rapid.Uint32().Draw(t, "ms")})
	}
	return p
}

func genEnqueue(t *rapid.T) *message.Enqueue {
	m := &message.Enqueue{
		Shard: genShard(t), Ref: genRef(t), Team: drawText[ident.TeamID](t), Hint: ident.Cost(genCost.Draw(t, "hint")),
		DeadlineMS: rapid.Uint32().Draw(t, "deadline"), Domain: ident.DomainID(genOptionalText.Draw(t, "domain")),
		Lag: rapid.Int64().Draw(t, "lag"), WaitedMS: rapid.Uint32().Draw(t, "waited"),
		Redirected: rapid.Bool().Draw(t, "redirected"),
	}
	for range rapid.IntRange(0, MaxPrefixHashes).Draw(t, "prefixes") {
		m.Prefix = append(m.Prefix, rapid.Uint64().Draw(t, "prefix"))
	}
	for range rapid.IntRange(0, MaxExcludedBackends).Draw(t, "excludes") {
		m.Exclude = append(m.Exclude, drawText[ident.BackendID](t))
	}
	return m
}

// genEnvelope draws any valid message.
var genEnvelope = rapid.Custom(func(t *rapid.T) Envelope {
	switch Class(rapid.IntRange(int(ClassEnqueue), int(ClassMembership)).Draw(t, "class")) {
	case ClassEnqueue:
		return Envelope{Enqueue: genEnqueue(t)}
	case ClassRunning:
		return Envelope{Running: &message.Running{Shard: genShard(t), Ref: genRef(t), Team: drawText[ident.TeamID](t),
			Backend: drawText[ident.BackendID](t), Cost: ident.Cost(genCost.Draw(t, "cost"))}}
	case ClassCancel:
		return Envelope{Cancel: &message.Cancel{Shard: genShard(t), Ref: genRef(t)}}
	case ClassGrant:
		fence := rapid.OneOf(rapid.Uint64(), rapid.Just(uint64(ingress.Incarnation)), rapid.Just(uint64(0))).Draw(t, "fence")
		return Envelope{Grant: &message.Grant{Shard: genShard(t), Ref: genRef(t), Backend: drawText[ident.BackendID](t),
			Fence: fence, Lag: rapid.Int64().Draw(t, "lag"),
			Generation: ident.Generation(rapid.Uint64().Draw(t, "generation"))}}
	case ClassReject:
		return Envelope{Reject: &message.Reject{Shard: genShard(t), Ref: genRef(t),
			Reason: message.RejectReason(rapid.IntRange(1, 4).Draw(t, "reason")), RetryAfterMS: rapid.Uint32().Draw(t, "retry")}}
	case ClassRedirect:
		return Envelope{Redirect: &message.Redirect{Shard: genShard(t), Ref: genRef(t), To: rapid.Uint16().Draw(t, "to")}}
	case ClassProgress:
		return Envelope{Progress: &message.Progress{Shard: genShard(t), Ref: genRef(t),
			Cost: ident.Cost(genCost.Draw(t, "cost"))}}
	case ClassSettle:
		return Envelope{Settle: &message.Settle{Shard: genShard(t), Ref: genRef(t), Cost: ident.Cost(genCost.Draw(t, "cost")),
			Result: message.SettleResult(rapid.IntRange(1, 4).Draw(t, "result")), RunMS: rapid.Uint32().Draw(t, "run")}}
	case ClassServiceDelta:
		return Envelope{ServiceDelta: &message.ServiceDelta{Shard: genShard(t), To: rapid.Uint16().Draw(t, "to"),
			Team: drawText[ident.TeamID](t), Delta: ident.Cost(rapid.Int64().Draw(t, "delta")),
			Seq: rapid.Uint64().Draw(t, "seq"), Epoch: rapid.Uint64().Draw(t, "epoch")}}
	case ClassFreeSlots:
		return Envelope{FreeSlots: &message.FreeSlots{Shard: genShard(t), To: rapid.Uint16().Draw(t, "to"),
			Count: rapid.Uint16().Draw(t, "count")}}
	}
	return Envelope{Membership: genPacket(t)}
})
