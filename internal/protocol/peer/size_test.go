package peer

import (
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
)

// Guards against messages above the size budgets of section 6 of the design, on which the limit of 3 KB/s of control
// traffic per node is based. The first message of a connection contains names in full. Its size is only logged; the
// budget applies to the next message, which belongs to a different request.
func TestMessageSizes(t *testing.T) {
	shard := ident.ShardID{Pool: "model/llama-3-70b", Index: 1}
	ref := ident.AttemptRef{Attempt: 1}
	ref.Request = ident.RequestRef{Router: ingress.Router, Incarnation: ingress.Incarnation, Seq: 3_000_000_000}
	enqueue := message.Enqueue{Shard: shard, Ref: ref, Team: "fernleigh-farm-0421", Hint: 12_000, DeadlineMS: 30_000,
		Domain: "domain-b", Lag: 250_000, Prefix: []uint64{1 << 63, 1<<63 + 1}}
	eightPrefixes := enqueue
	eightPrefixes.Prefix = []uint64{1 << 63, 1 << 62, 1 << 61, 1 << 60, 1 << 59, 1 << 58, 1 << 57, 1 << 56}
	member := membership.Member{ID: ingress.Router, Incarnation: ingress.Incarnation, State: membership.Alive, Version: 2,
		PeerAddr: "10.0.0.3:7400", CallerAddr: "10.0.0.3:8080", Domain: "domain-a", Generation: 70_000, Load: 300}
	other := member
	other.ID, other.Incarnation = "router-05", 1_790_000_000_999
	packet := &membership.Packet{Kind: membership.Ping, Seq: 100_000, From: member,
		Updates: []membership.Update{{Member: other}}}
	for _, c := range []struct {
		title  string
		budget int
		e      Envelope
	}{
		{"enqueue, 2 prefix hashes", 60, Envelope{Enqueue: &enqueue}},
		{"enqueue, 8 prefix hashes", 60 + 6*9, Envelope{Enqueue: &eightPrefixes}},
		{"cancel", 20, Envelope{Cancel: &message.Cancel{Shard: shard, Ref: ref}}},
		{"grant", 35, Envelope{Grant: &message.Grant{Shard: shard, Ref: ref, Backend: "engine-fd2-11",
			Fence: uint64(dispatcher.Incarnation), Lag: 250_000, Generation: 70_000}}},
		{"reject", 25, Envelope{Reject: &message.Reject{Shard: shard, Ref: ref, Reason: 1, RetryAfterMS: 2_000}}},
		{"redirect", 25, Envelope{Redirect: &message.Redirect{Shard: shard, Ref: ref, To: 2}}},
		{"progress", 12, Envelope{Progress: &message.Progress{Shard: shard, Ref: ref, Cost: 12_000}}},
		{"settle", 25, Envelope{Settle: &message.Settle{Shard: shard, Ref: ref, Cost: 12_000, Result: 2, RunMS: 8_000}}},
		{"service delta", 20, Envelope{ServiceDelta: &message.ServiceDelta{Shard: shard, To: 2, Team: "fernleigh-farm-0421",
			Delta: 1_200, Seq: 70_000, Epoch: uint64(dispatcher.Incarnation)}}},
		{"free slots", 20, Envelope{FreeSlots: &message.FreeSlots{Shard: shard, To: 2, Count: 3}}},
		{"ping, 1 update", 60, Envelope{Membership: packet}},
	} {
		from, to := ingress, dispatcher
		if c.e.Grant != nil || c.e.Reject != nil || c.e.Redirect != nil || c.e.ServiceDelta != nil {
			from, to = dispatcher, ingress
		}
		enc := NewEncoder(from, to)
		first, err := enc.Add(c.e)
		if err != nil {
			t.Fatal(err)
		}
		size, err := enc.Add(withLaterSeq(c.e))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%-26s first %3d B, then %2d B, budget %2d B", c.title, first, size, c.budget)
		if size > c.budget {
			t.Errorf("%s has %d bytes, above the budget of %d", c.title, size, c.budget)
		}
	}
}

// withLaterSeq increases the sequence number of the message's request by 200, if it has one, and returns the message.
func withLaterSeq(e Envelope) Envelope {
	refs := map[Class]func() *ident.AttemptRef{
		ClassEnqueue:  func() *ident.AttemptRef { return &e.Enqueue.Ref },
		ClassCancel:   func() *ident.AttemptRef { return &e.Cancel.Ref },
		ClassGrant:    func() *ident.AttemptRef { return &e.Grant.Ref },
		ClassReject:   func() *ident.AttemptRef { return &e.Reject.Ref },
		ClassRedirect: func() *ident.AttemptRef { return &e.Redirect.Ref },
		ClassProgress: func() *ident.AttemptRef { return &e.Progress.Ref },
		ClassSettle:   func() *ident.AttemptRef { return &e.Settle.Ref },
	}
	if ref := refs[e.Class()]; ref != nil {
		ref().Request.Seq += 200
	}
	return e
}
