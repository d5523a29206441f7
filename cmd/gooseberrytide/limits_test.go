package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

// Guards against a list of limits that hides the value, the use or the age, or when a warm-up ends.
func TestRenderLimits(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	used := 4.62
	renderLimits(&out, []admin.Limit{
		{Server: "i-1", Service: "pool", PerSecond: 4.8, InForce: 4.8, AgeMS: 61_000, ConfirmedMS: 2000, Owner: "r-1", Used: &used},
		{Server: "i-2", Service: "pool", PerSecond: 0, InForce: 0.5, AgeMS: 5000, ConfirmedMS: 1000, Owner: "r-2"},
		{Server: "i-3", Service: "pool", InForce: 12, AgeMS: 900, ConfirmedMS: 900, Owner: "r-2", Unnamed: true,
			Warmup: &admin.Warmup{Source: "entry", LeftMS: 2000}},
	})
	g.Expect(out.String()).To(ContainSubstring("i-1     pool     4.8      4.8         4.6     1m1s ago  2s ago     r-1"))
	g.Expect(out.String()).To(ContainSubstring("i-2     pool     0        0.5         -       5s ago    1s ago     r-2"))
	g.Expect(out.String()).To(MatchRegexp(`i-3 +pool +- +12 +- .* r-2 +2s left \(entry\)`))
	out.Reset()
	renderLimits(&out, nil)
	g.Expect(out.String()).To(Equal("no server names a limit or is cold\n"))
}
