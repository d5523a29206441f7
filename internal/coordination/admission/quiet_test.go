package admission

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Load pattern: a server stops sending while it has many requests. Guards against further requests to it while it is
// silent, and against a server that stays out of use after it has resumed.
func TestQuietServerGetsNoFurtherRequests(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(2)
	a.submit(8)
	quiet := a.granted[0].server.ID
	var waiting []*Ticket
	for _, tk := range a.granted {
		if tk.server.ID == quiet {
			waiting = append(waiting, tk)
		}
	}
	g.Expect(len(waiting)).To(BeNumerically(">=", ejectAfterFailures))
	for _, tk := range waiting {
		a.core.RecordQuiet(a.now, tk)
		a.core.RecordQuiet(a.now, tk)
	}
	g.Expect(a.core.healthOf(quiet).failures).To(Equal(len(waiting)), "each request counts once")
	sent := len(a.granted)
	a.submit(4)
	for _, tk := range a.granted[sent:] {
		g.Expect(tk.server.ID).NotTo(Equal(quiet))
	}
	for _, tk := range waiting {
		a.core.Finish(a.now, tk, ResultOK)
	}
	a.now = a.now.Add(maxEjection)
	g.Expect(a.core.healthOf(quiet).available(a.now)).To(BeTrue())
	g.Expect(a.core.healthOf(quiet).failures).To(BeZero())
}

// Guards against a server that cannot be tested again because the request that tests it gets no response.
func TestQuietProbeLetsAnotherRequestTestTheServer(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(1)
	a.core.Finish(a.now, a.granted[0], ResultUnreachable)
	a.now = a.now.Add(minEjection)
	a.submit(1)
	g.Expect(a.granted).To(HaveLen(2))
	a.core.RecordQuiet(a.now, a.granted[1])
	a.now = a.now.Add(maxEjection)
	a.submit(1)
	g.Expect(a.granted).To(HaveLen(3))
}

// Guards against a service without servers after all of them have been silent: a server that has resumed and completed
// its responses takes requests again.
func TestServerThatGoesOnIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	a := newAnnounceTest(1)
	a.submit(6)
	g.Expect(len(a.granted)).To(BeNumerically(">=", ejectAfterFailures))
	for _, tk := range a.granted {
		a.core.RecordQuiet(a.now, tk)
	}
	for _, tk := range a.granted {
		a.core.Finish(a.now, tk, ResultOK)
	}
	g.Expect(a.core.healthOf(a.granted[0].server.ID).available(a.now)).To(BeTrue())
}
