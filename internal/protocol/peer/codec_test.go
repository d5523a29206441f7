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

// Guards against messages that change on the way, alone or because the two ends' name rings drift apart.
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

// Guards against drift of the rings when more names are in use than they hold.
func TestRingEviction(t *testing.T) {
	enc, dec := NewEncoder(ingress, dispatcher), NewDecoder(ingress, dispatcher)
	for i := range 5 * ringSize {
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
	if len(enc.ring.index) > ringSize || len(enc.ring.slots) != ringSize {
		t.Fatalf("the ring grew to %d names", len(enc.ring.index))
	}
}

// Guards against a largest message, or a full frame with one more, that does not fit into a frame.
func TestLargestMessagesFit(t *testing.T) {
	enc := NewEncoder(ingress, dispatcher)
	for i := 0; !enc.Full(); i++ {
		p := &membership.Packet{Kind: membership.PingReq, Target: long[ident.RouterID](i, 0), From: largest(i, 0)}
		for j := range membership.MaxUpdates {
			p.Updates = append(p.Updates, membership.Update{Member: largest(i, j+1), SuspectMS: 1 << 31})
		}
		if _, err := enc.Add(Envelope{Membership: p}); err != nil {
			t.Fatal(err)
		}
	}
	if data, err := enc.Take(); err != nil {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
}

func long[T ~string](i, j int) T {
	return T(strings.Repeat(string(rune('a'+i%26)), MaxName-2) + string(rune('A'+i/26)) + string(rune('0'+j)))
}

func largest(i, j int) membership.Member {
	return membership.Member{ID: long[ident.RouterID](i, 4*j+1), PeerAddr: long[string](i, 4*j+2), CallerAddr: long[string](i, 4*j+3),
		Domain: long[ident.DomainID](i, 4*j+4), State: membership.Dead, Incarnation: 1 << 61, Version: 1 << 31, Load: 1 << 31}
}

// Guards against bad input that is accepted, and against errors that do not name its place.
func TestBadInput(t *testing.T) {
	good := wireCancel{wireHead: wireHead{Seq: 1, Shard: name{text: "p"}}}
	list := func(items ...any) []byte {
		data, err := cbor.Marshal(items)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	type m = map[int]any
	head := m{1: 1, 5: "p"}
	row := m{1: "a\x001\x00\x00\x00"}
	with := func(key int, v any) m { return m{1: 1, 5: "p", key: v} }
	for _, c := range []struct {
		title, place string
		data         []byte
		reason       error
	}{
		{"oversized frame", "frame", make([]byte, MaxFrame+1), ErrTooLarge},
		{"not a list", "frame", []byte{0x01}, nil},
		{"cut short", "frame", list(wireEnvelope{Cancel: &good})[:5], nil},
		{"trailing bytes", "frame", append(list(wireEnvelope{Cancel: &good}), 0), nil},
		{"endless list", "frame", []byte{0x9f, 0xa0, 0xff}, nil},
		{"duplicate key", "envelopes[0].message", []byte{0x81, 0xa1, 3, 0xa3, 1, 1, 5, 0x61, 'p', 5, 0x61, 'q'}, nil},
		{"too many messages", "frame", list(make([]any, MaxEnvelopes+1)...), nil},
		{"empty envelope", "envelopes[0].message", list(m{}), ErrNotOne},
		{"two messages", "envelopes[1].message", list(m{3: head}, m{3: head, 7: head}), ErrNotOne},
		{"unknown message", "envelopes[0].message", list(m{99: head}), nil},
		{"unknown field", "envelopes[0].message", list(m{3: with(22, 1)}), nil},
		{"no pool", "envelopes[0].cancel.shard.pool", list(m{3: m{1: 1}}), ErrEmpty},
		{"bad shard index", "envelopes[0].cancel.shard.pool", list(m{3: m{1: 1, 5: "p\x0070000"}}), ErrNUL},
		{"index without name", "envelopes[0].name", list(m{3: m{1: 1, 5: 7}}), ErrDanglingID},
		{"long name", "envelopes[0].cancel.shard.pool", list(m{3: m{1: 1, 5: strings.Repeat("x", MaxName+1)}}), ErrTooLarge},
		{"long text", "envelopes[0].name", list(m{3: m{1: 1, 5: strings.Repeat("x", maxText+1)}}), ErrTooLarge},
		{"many prefixes", "envelopes[0].enqueue.prefix", list(m{1: m{1: 1, 5: "p", 7: "t", 10: make([]int, 9)}}), ErrTooLarge},
		{"negative cost", "envelopes[0].settle.cost", list(m{8: m{1: 1, 5: "p", 7: -1, 8: 1}}), ErrRange},
		{"unknown result", "envelopes[0].settle.result", list(m{8: with(8, 9)}), ErrUnknown},
		{"unknown reason", "envelopes[0].reject.reason", list(m{5: with(7, 0)}), ErrUnknown},
		{"wrong type", "envelopes[0].", list(m{8: with(7, "x")}), nil},
		{"many updates", "envelopes[0].membership.updates", list(m{11: m{1: 1, 4: row, 6: []m{row, row, row, row, row, row, row, row, row}}}), ErrTooLarge},
		{"bad state", "envelopes[0].membership.updates[1].state", list(m{11: m{1: 1, 4: row, 6: []m{row, {1: "b\x002\x00\x00\x00", 3: 9}}}}), ErrUnknown},
		{"huge incarnation", "envelopes[0].membership.from.incarnation", list(m{11: m{1: 1, 4: m{1: "a\x00zzzzzzzzzzzz\x00\x00\x00"}}}), ErrRange},
		{"bad identity", "envelopes[0].membership.from.identity", list(m{11: m{1: 1, 4: m{1: "a\x00!\x00\x00\x00"}}}), ErrIdentity},
		{"short identity", "envelopes[0].membership.updates[0].identity", list(m{11: m{1: 1, 4: row, 6: []m{{1: "b"}}}}), ErrIdentity},
	} {
		_, err := NewDecoder(ingress, dispatcher).Decode(c.data)
		var f *FormatError
		if !errors.As(err, &f) || !strings.HasPrefix(f.Place, c.place) || (c.reason != nil && !errors.Is(err, c.reason)) {
			t.Errorf("%s: %v", c.title, err)
		}
	}
}

// Guards against messages that the receiver would refuse, which would cost the link.
func TestEncoderChecks(t *testing.T) {
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
		t.Errorf("a refused message left %d bytes, %v", len(data), err)
	}
}

// Guards against stamps that get lost, repeat or run backwards between frames of a connection.
func TestFramesCarryTheSendersClock(t *testing.T) {
	enc := NewEncoder(ingress, dispatcher)
	dec := NewDecoder(ingress, dispatcher)
	for _, stamp := range []timeline.Stamp{1_700_000_000_000_000, 1_700_000_000_000_001, 1_700_000_000_000_001, 1_700_000_009_000_000} {
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
