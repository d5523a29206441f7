package vmlist

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/cutserver"
)

// Guards against a part of a list without a length that is taken for a shorter list.
func TestEachPartOfAListIsAnError(t *testing.T) {
	const answer = cutserver.NoLength + `{"vms":[` +
		`{"id":"r1","peer_address":"10.0.0.1:1","caller_address":"10.0.0.1:2","state":"live"},` +
		`{"id":"r2","peer_address":"10.0.0.2:1","caller_address":"10.0.0.2:2","state":"live"}]}`
	list := func(address string) ([]VM, error) {
		return New(Options{URL: "http://" + address, Timeout: time.Minute}).List(t.Context())
	}
	vms, err := list(cutserver.Start(t, answer, connend.Close))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(vms).To(HaveLen(2))
	cutserver.ForEachPart(t, answer, func(t *testing.T, address string) {
		_, err := list(address)
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
}
