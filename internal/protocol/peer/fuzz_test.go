package peer

import (
	"reflect"
	"testing"
)

// FuzzDecode guards against input that makes the decoder panic, and against accepted frames whose messages change or
// fail when they are encoded and decoded again. The seed corpus consists of testdata/fuzz and of frames generated from
// fixed seeds.
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
				t.Fatalf("an accepted message cannot be encoded: %v", err)
			}
		}
		again, err := enc.Take()
		if err != nil || again == nil {
			return // an accepted frame may exceed the size limit when its names are encoded in full
		}
		got, err := NewDecoder(ingress, dispatcher).Decode(again)
		if err != nil || !reflect.DeepEqual(got.Envelopes, frame.Envelopes) {
			t.Fatalf("messages changed when encoded again: %v", err)
		}
	})
}
