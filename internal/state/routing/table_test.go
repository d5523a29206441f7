package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that is matched to the wrong route.
func TestLongestPrefixWins(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(&Config{Routes: []Route{
		{Name: "short", Host: "Shed.example", PathPrefix: "/a/"},
		{Name: "long", Host: "shed.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "other.example", PathPrefix: "/"},
	}})
	g.Expect(table.Route("shed.example:8080", "/a/b/c").Name).To(Equal("long"))
	g.Expect(table.Route("SHED.example", "/a/bc").Name).To(Equal("short"))
	g.Expect(table.Route("shed.example", "/b/")).To(BeNil())
	g.Expect(table.Route("none.example", "/a/")).To(BeNil())
}

// Guards against a configuration that is replaced by an older version.
func TestHolderNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	var h Holder
	g.Expect(h.Store(NewTable(&Config{Version: 5, Revision: 50}))).To(BeTrue())
	g.Expect(h.Store(NewTable(&Config{Version: 4, Revision: 60}))).To(BeFalse())
	g.Expect(h.Store(NewTable(&Config{Version: 5, Revision: 50}))).To(BeFalse())
	g.Expect(h.Store(NewTable(&Config{Version: 5, Revision: 51}))).To(BeTrue())
	g.Expect(h.Load().Revision).To(Equal(int64(51)))
}
