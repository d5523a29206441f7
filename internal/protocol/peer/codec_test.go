package peer

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"gooseberrytide.example/gooseberrytide/internal/coordination/membership"
	"gooseberrytide.example/gooseberrytide/internal/coordination/message"
	"gooseberrytide.example/gooseberrytide/internal/state/ident"
	"gooseberrytide.example/gooseberrytide/internal/state/timeline"
)

// Guards against messages that change when they are encoded and decoded, also because the name rings of the two
// endpoints diverge.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		enc, dec := NewEncoder(ingress, dispatcher), NewDecoder(ingress, dispatcher)
		for range rapid.IntRange(1, 4).Draw(t, "frames") {
			sent := rapid.SliceOfN(genEnvelope, 1, 30).Draw(t, "envelopes")
			for _, e := range sent {
				if _, err := enc.Add(e); err != nil {
					t.Fatal(err)
				}
			}
			data, err := enc.Take()
			if err != nil {
				t.Fatal(err)
			}
			f, err := dec.Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if f.Router != ingress.Router || f.Incarnation != ingress.Incarnation || !reflect.DeepEqual(f.Envelopes, sent) {
				t.Fatalf("sent %+v, got %+v", sent, f)
			}
		}
	})
}

// Guards against name rings that diverge or grow when more names are in use than a ring holds.
func TestRingEviction(t *testing.T) {
	enc, dec := NewEncoder(ingress, dispatcher), NewDecoder(ingress, dispatcher)
	for i := range 5 * nameRingSize {
		pool := ident.PoolID(strings.Repeat("p", 1+i%200) + string(rune('a'+i%13)))
		e := Envelope{FreeSlots: &message.FreeSlots{Shard: ident.ShardID{Pool: pool}}}
		if _, err := enc.Add(e); err != nil {
			t.Fatal(err)
		}
		data, _ := enc.Take()
		f, err := dec.Decode(data)
		if err != nil || f.Envelopes[0].FreeSlots.Shard.Pool != pool {
			t.Fatalf("message %d: %v", i, err)
		}
	}
	if len(enc.ring.slotOf) > nameRingSize || len(enc.ring.slots) != nameRingSize {
		t.Fatalf("the ring has grown to %d names", len(enc.ring.slotOf))
	}
}

// Guards against frames above the size limit when messages of the largest size are added until the frame is full.
func TestLargestMessagesFit(t *testing.T) {
	enc := NewEncoder(ingress, dispatcher)
	for i := 0; !enc.Full(); i++ {
		p := &membership.Packet{Kind: membership.PingReq, Target: longName[ident.RouterID](i, 0),
			From: largestMember(i, 0)}
		for j := range membership.MaxUpdates {
			p.Updates = append(p.Updates, membership.Update{Member: largestMember(i, j+1), SuspectMS: 1 << 31})
		}
		if _, err := enc.Add(Envelope{Membership: p}); err != nil {
			t.Fatal(err)
		}
	}
	if data, err := enc.Take(); err != nil {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
}

func longName[T ~string](i, j int) T {
	return T(strings.Repeat(string(rune('a'+i%26)), MaxNameBytes-2) + string(rune('A'+i/26)) + string(rune('0'+j)))
}

func largestMember(i, j int) membership.Member {
	return membership.Member{ID: longName[ident.RouterID](i, 4*j+1), PeerAddr: longName[string](i, 4*j+2),
		CallerAddr: longName[string](i, 4*j+3), Domain: longName[ident.DomainID](i, 4*j+4), State: membership.Dead,
		Incarnation: 1 << 61, Version: 1 << 31, Load: 1 << 31}
}

// Guards against invalid input that is accepted, and against errors that do not name the place of the fault.
func TestDecoderRejectsInvalidInput(t *testing.T) {
	valid := wireCancel{wireHeader: wireHeader{Seq: 1, Shard: wireName{text: "p"}}}
	list := func(items ...any) []byte {
		data, err := cbor.Marshal(items)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	type m = map[int]any
	header := m{1: 1, 5: "p"}
	member := m{1: "a\x001\x00\x00\x00"}
	with := func(key int, v any) m { return m{1: 1, 5: "p", key: v} }
	for _, c := range []struct {
		title, place string
		data         []byte
		reason       error
	}{
		{"oversized frame", "frame", make([]byte, MaxFrameBytes+1), ErrTooLarge},
		{"not a list", "frame", []byte{0x01}, nil},
		{"truncated frame", "frame", list(wireEnvelope{Cancel: &valid})[:5], nil},
		{"trailing bytes", "frame", append(list(wireEnvelope{Cancel: &valid}), 0), nil},
		{"indefinite-length list", "frame", []byte{0x9f, 0xa0, 0xff}, nil},
		{"duplicate key", "envelopes[0].message", []byte{0x81, 0xa1, 3, 0xa3, 1, 1, 5, 0x61, 'p', 5, 0x61, 'q'}, nil},
		{"too many messages", "frame", list(make([]any, MaxEnvelopes+1)...), nil},
		{"empty envelope", "envelopes[0].message", list(m{}), ErrMessageCount},
		{"two messages", "envelopes[1].message", list(m{3: header}, m{3: header, 7: header}), ErrMessageCount},
		{"unknown message", "envelopes[0].message", list(m{99: header}), nil},
		{"unknown field", "envelopes[0].message", list(m{3: with(22, 1)}), nil},
		{"missing pool", "envelopes[0].cancel.shard.pool", list(m{3: m{1: 1}}), ErrEmpty},
		{"invalid shard index", "envelopes[0].cancel.shard.pool", list(m{3: m{1: 1, 5: "p\x0070000"}}), ErrNUL},
		{"index of an unknown name", "envelopes[0].name", list(m{3: m{1: 1, 5: 7}}), ErrUnknownNameIndex},
		{
			"name too long", "envelopes[0].cancel.shard.pool",
			list(m{3: m{1: 1, 5: strings.Repeat("x", MaxNameBytes+1)}}), ErrTooLarge,
		},
		{"text too long", "envelopes[0].name", list(m{3: m{1: 1, 5: strings.Repeat("x", maxTextBytes+1)}}), ErrTooLarge},
		{
			"too many prefix hashes", "envelopes[0].enqueue.prefix",
			list(m{1: m{1: 1, 5: "p", 7: "t", 10: make([]int, 9)}}), ErrTooLarge,
		},
		{"negative cost", "envelopes[0].settle.cost", list(m{8: m{1: 1, 5: "p", 7: -1, 8: 1}}), ErrRange},
		{"unknown result", "envelopes[0].settle.result", list(m{8: with(8, 9)}), ErrUnknown},
		{"unknown reason", "envelopes[0].reject.reason", list(m{5: with(7, 0)}), ErrUnknown},
		{"wrong type", "envelopes[0].", list(m{8: with(7, "x")}), nil},
		{
			"too many updates", "envelopes[0].membership.updates",
			list(m{11: m{1: 1, 4: member, 6: []m{
				member, member, member, member, member, member, member, member, member,
			}}}), ErrTooLarge,
		},
		{
			"invalid state", "envelopes[0].membership.updates[1].state",
			list(m{11: m{1: 1, 4: member, 6: []m{member, {1: "b\x002\x00\x00\x00", 3: 9}}}}), ErrUnknown,
		},
		{
			"incarnation too large", "envelopes[0].membership.from.incarnation",
			list(m{11: m{1: 1, 4: m{1: "a\x00zzzzzzzzzzzz\x00\x00\x00"}}}), ErrRange,
		},
		{
			"invalid identity", "envelopes[0].membership.from.identity",
			list(m{11: m{1: 1, 4: m{1: "a\x00!\x00\x00\x00"}}}), ErrInvalidIdentity,
		},
		{
			"incomplete identity", "envelopes[0].membership.updates[0].identity",
			list(m{11: m{1: 1, 4: member, 6: []m{{1: "b"}}}}), ErrInvalidIdentity,
		},
	} {
		_, err := NewDecoder(ingress, dispatcher).Decode(c.data)
		var f *FormatError
		if !errors.As(err, &f) || !strings.HasPrefix(f.Place, c.place) || (c.reason != nil && !errors.Is(err, c.reason)) {
			t.Errorf("%s: %v", c.title, err)
		}
	}
}

// Guards against encoding invalid messages. The receiver would reject them and close the link.
func TestEncoderRejectsInvalidMessages(t *testing.T) {
	enc := NewEncoder(ingress, dispatcher)
	for title, e := range map[string]Envelope{
		"empty": {},
		"two":   {Cancel: &message.Cancel{}, Settle: &message.Settle{}},
		"zero":  {Cancel: &message.Cancel{}},
		"utf-8": {FreeSlots: &message.FreeSlots{Shard: ident.ShardID{Pool: "\xff"}}},
	} {
		var f *FormatError
		if _, err := enc.Add(e); !errors.As(err, &f) {
			t.Errorf("%s: %v", title, err)
		}
	}
	if data, err := enc.Take(); data != nil || err != nil {
		t.Errorf("rejected messages left a frame of %d bytes, %v", len(data), err)
	}
}

// Guards against frames of a connection that are decoded with another stamp than the sender set, also when the sender's
// clock has not advanced since the previous frame.
func TestFramesCarryTheSendersClock(t *testing.T) {
	enc := NewEncoder(ingress, dispatcher)
	dec := NewDecoder(ingress, dispatcher)
	for _, stamp := range []timeline.Stamp{
		1_700_000_000_000_000, 1_700_000_000_000_001, 1_700_000_000_000_001, 1_700_000_009_000_000,
	} {
		enc.SetStamp(stamp)
		if _, err := enc.Add(Envelope{Takeover: &message.Takeover{Shard: ident.ShardID{Pool: "model/a"}}}); err != nil {
			t.Fatal(err)
		}
		data, err := enc.Take()
		if err != nil {
			t.Fatal(err)
		}
		f, err := dec.Decode(data)
		if err != nil || f.Stamp != stamp || len(f.Envelopes) != 1 {
			t.Fatalf("stamp %d, want %d, %d envelopes: %v", f.Stamp, stamp, len(f.Envelopes), err)
		}
	}
}
