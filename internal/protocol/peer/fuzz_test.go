package peer

import (
	"reflect"
	"testing"
)

// FuzzDecode guards against input that stops the process, and against accepted frames whose messages cannot be encoded
// again to the same messages. The corpus is in testdata/fuzz and in drawn frames with fixed seeds.
func FuzzDecode(f *testing.F) {
	for seed := range 24 {
		enc := NewEncoder(ingress, dispatcher)
		for i := range 1 + seed%5 {
			_, _ = enc.Add(genEnvelope.Example(seed*7 + i))
		}
		data, err := enc.Take()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := NewDecoder(ingress, dispatcher).Decode(data)
		if err != nil {
			return
		}
		enc := NewEncoder(ingress, dispatcher)
		for _, e := range frame.Envelopes {
			if _, err := enc.Add(e); err != nil {
				t.Fatalf("accepted but not encodable: %v", err)
			}
		}
		again, err := enc.Take()
		if err != nil || again == nil {
			return // an accepted frame may exceed the limit once its names are written out
		}
		got, err := NewDecoder(ingress, dispatcher).Decode(again)
		if err != nil || !reflect.DeepEqual(got.Envelopes, frame.Envelopes) {
			t.Fatalf("changed by encoding again: %v", err)
		}
	})
}
