package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

// Guards against a list of evacuations that hides the age or the number of servers.
func TestRenderEvacuations(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	renderEvacuations(&out, []admin.Evacuation{{Domain: "mid-a", AgeMS: 61_000, Servers: 38}})
	g.Expect(out.String()).To(ContainSubstring("mid-a   38       1m1s ago"))
	out.Reset()
	renderEvacuations(&out, nil)
	g.Expect(out.String()).To(Equal("no failure domain is evacuated\n"))
}
