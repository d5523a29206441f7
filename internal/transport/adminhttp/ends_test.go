package adminhttp

import (
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
	"gooseberrytide.example/gooseberrytide/test/standin/connend"
	"gooseberrytide.example/gooseberrytide/test/standin/cutserver"
)

// Guards against a part of a response without a length that is taken for the whole one.
func TestEachPartOfAResponseIsAnError(t *testing.T) {
	const answer = cutserver.NoLength + `{"generation":3,"objects":[{"kind":"vm"},{"kind":"vm"}]}`
	config := func(address string) (admin.Config, error) { return NewClient(address, "t").Config(t.Context()) }
	whole, err := config(cutserver.Start(t, answer, connend.Close))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Objects).To(HaveLen(2))
	cutserver.ForEachPart(t, answer, func(t *testing.T, address string) {
		_, err := config(address)
		NewWithT(t).Expect(err).To(HaveOccurred())
	})
}
