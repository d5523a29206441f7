package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/protocol/admin"
)

// Guards against a list that hides the state, the teams, the path of a request or the time of the next trial.
func TestRenderSuspects(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	renderSuspects(&out, []admin.Suspect{{
		ID: "bad", State: admin.SuspectBlocked, Service: "pool", Crashes: 3, Servers: []string{"i-1", "i-2", "i-3"},
		Teams: []string{"farm"}, FirstCrashMS: 61_000, RetrialInMS: 90_000,
	}, {
		ID: "request-1f", State: admin.SuspectSuspected, Service: "app", Path: "/lookup/x", Crashes: 1, Servers: []string{"i-4"},
		FirstCrashMS: 2000,
	}})
	g.Expect(out.String()).To(ContainSubstring(
		"bad         blocked    pool     3        1m1s ago  1m30s           farm   i-1, i-2, i-3  -"))
	g.Expect(out.String()).To(ContainSubstring("request-1f  suspected  app      1        2s ago    -                      i-4            /lookup/x"))
	out.Reset()
	renderSuspects(&out, nil)
	g.Expect(out.String()).To(Equal("no parts or requests are suspected or blocked\n"))
}
