package object

import (
	"bytes"
	"testing"
)

// Guards against inputs that crash the decoder or the checks, and against a set that passes the checks but changes when
// it is encoded and decoded again.
func FuzzDecodeCheck(f *testing.F) {
	f.Add([]byte(allKindsFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		set := NewSet()
		findings := Decode("fuzz.json", data, set)
		findings = append(findings, Check(set)...)
		if len(findings) > 0 {
			_ = findings.Error()
			return
		}
		encoded, err := Encode(set)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		again := NewSet()
		if findings := Decode("again.json", encoded, again); len(findings) > 0 {
			t.Fatalf("decoding the encoded set: %v", findings)
		}
		if findings := Check(again); len(findings) > 0 {
			t.Fatalf("checking the decoded set: %v", findings)
		}
		if differences := Diff(set, again); len(differences) > 0 {
			t.Fatalf("encoding changed the set: %v", differences)
		}
		second, _ := Encode(again)
		if !bytes.Equal(encoded, second) {
			t.Fatal("encoding the decoded set gives other bytes")
		}
	})
}
