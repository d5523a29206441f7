package relayhttp

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/discovery"
	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/cutserver"
)

// Guards against a part of a list of changes without a length that is taken for the whole one, so that changes are lost.
func TestEachPartOfTheChangesIsAnError(t *testing.T) {
	g := NewWithT(t)
	sent := discovery.Relayed{Revision: 9, Age: time.Second}
	for _, key := range []string{"a", "b"} {
		sent.Changes = append(sent.Changes, kv.Change{Entry: kv.Entry{Key: key, Value: []byte("v"), Revision: 8}})
	}
	body, err := cbor.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	answer := cutserver.NoLength + string(body)
	read := func(address string) (discovery.Relayed, error) {
		return NewClient().Changes(t.Context(), address, kv.Position{}, time.Second)
	}
	g.Expect(read(cutserver.Start(t, answer, connend.Close))).To(Equal(sent))
	cutserver.ForEachPart(t, answer, func(t *testing.T, address string) {
		_, err := read(address)
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
}
