package admission

import (
	"testing"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// Guards against requests that are sent to a server which has left, or must get none, since they were granted: a connection
// may take a second to open.
func TestGrantedRequestIsNotSentToAServerThatHasLeft(t *testing.T) {
	changed := func(change func(*backends.Server)) func(*announceTest, *backends.Server) {
		return func(a *announceTest, s *backends.Server) {
			after := *s
			change(&after)
			a.core.SetServers(a.now, backends.NewSet([]*backends.Server{&after, a.servers[1]}))
		}
	}
	for name, leave := range map[string]func(*announceTest, *backends.Server){
		"drains":    changed(func(s *backends.Server) { s.Draining = true }),
		"restarted": changed(func(s *backends.Server) { s.StartedAt++ }),
		"moved":     changed(func(s *backends.Server) { s.Service = "other" }),
		"gone": func(a *announceTest, _ *backends.Server) {
			a.core.SetServers(a.now, backends.NewSet(a.servers[1:]))
		},
		"moved to an evacuated domain": func(a *announceTest, s *backends.Server) {
			changed(func(s *backends.Server) { s.FailureDomain = "evacuated" })(a, s)
			a.core.SetEvacuated(a.now, []string{"evacuated"})
		},
		"ejected": func(a *announceTest, s *backends.Server) { a.core.healthOf(s.ID).eject(a.now) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAnnounceTest(2)
			a.submit(8)
			leaving := a.servers[0]
			leave(a, leaving)
			for _, ticket := range a.granted[:8] {
				g.Expect(a.core.MaySend(a.now, 0, ticket)).To(Equal(ticket.server.ID != leaving.ID), ticket.server.ID)
			}
		})
	}
}
