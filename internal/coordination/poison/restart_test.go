package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// downTime is how long a server of the tests is down.
const downTime = 2 * time.Second

// poolFixture is a guard with a pool of servers whose new connections show that they live.
type poolFixture struct {
	*guardFixture
	servers []*backends.Server
	// leaving are the servers that have announced their end.
	leaving map[string]bool
}

func newPoolFixture(size int) *poolFixture {
	f := &poolFixture{guardFixture: newGuardFixture(), leaving: make(map[string]bool)}
	for i := range size {
		f.servers = append(f.servers, testServer(fmt.Sprint("i-", i)))
	}
	f.publish()
	return f
}

// publish makes the entries of the servers known.
func (f *poolFixture) publish() {
	f.SetServers(backends.NewSet(f.servers), func(s *backends.Server) bool { return f.leaving[s.ID] })
}

// restart gives a server a new start time.
func (f *poolFixture) restart(i int) { f.start(i, f.servers[i].StartedAt+1000) }

func (f *poolFixture) start(i int, at int64) {
	started := *f.servers[i]
	started.StartedAt = at
	f.servers[i] = &started
	f.publish()
}

// endings are the ways in which an attempt ends whose server has ended unseen.
var endings = map[string]func(t *testing.T, f *poolFixture, i int, a *Attempt){
	"silent, with a substitute": func(_ *testing.T, f *poolFixture, i int, a *Attempt) {
		time.Sleep(downTime / 2)
		a.Unanswered()
		time.Sleep(downTime / 2)
		f.restart(i)
	},
	"silent until the server is back": func(_ *testing.T, f *poolFixture, i int, a *Attempt) {
		time.Sleep(downTime)
		f.restart(i)
		a.End()
	},
	"lost, the port accepts": func(t *testing.T, f *poolFixture, i int, a *Attempt) {
		a.Lost(t.Context())
		time.Sleep(downTime)
		f.restart(i)
	},
}

// Guards against a part that goes on to end servers because their ports do not show it.
func TestPartThatSilencesServersIsBlocked(t *testing.T) {
	for name, end := range endings {
		for _, size := range []int{3, 12} {
			t.Run(fmt.Sprintf("%s, %d servers", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newPoolFixture(size)
					for i := range minCrashes {
						f.serve(testRequest(100+i, first))
						a := f.Begin(f.servers[i], testRequest(i, first, bad))
						time.Sleep(40 * time.Millisecond)
						end(t, f, i, a)
						g.Expect(f.crashes.Load()).To(Equal(int64(i + 1)))
						f.serve(testRequest(200+i, first))
					}
					g.Expect(f.Check(testRequest(9, first, bad)).State).To(Equal(Blocked))
					g.Expect(f.Check(testRequest(9, first)).State).To(Equal(Clear))
				})
			})
		}
	}
}

// Guards against sound requests that are suspected because links to servers, to a whole domain or of the router fail.
func TestSilenceWithoutARestartIsNoCrash(t *testing.T) {
	for _, failed := range []int{1, 4, 12} {
		t.Run(fmt.Sprintf("%d of 12 servers", failed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newPoolFixture(12)
				for range 5 {
					for i := range failed {
						silent := f.Begin(f.servers[i], testRequest(i, topic))
						lost := f.Begin(f.servers[i], testRequest(i, topic))
						time.Sleep(time.Millisecond)
						lost.Lost(t.Context())
						silent.Unanswered()
					}
					f.publish()
					time.Sleep(3 * time.Second)
				}
				g.Expect(f.crashes.Load()).To(BeZero())
				g.Expect(f.Check(testRequest(0, topic)).State).To(Equal(Clear))
			})
		})
	}
}

// Guards against sound requests that are blocked because all servers of a domain lose power, and return one after the other.
func TestDomainThatLosesPowerIsOneMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newPoolFixture(12)
		var attempts []*Attempt
		for i := range 4 {
			attempts = append(attempts, f.Begin(f.servers[i], testRequest(i, topic)))
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(downTime)
		for i := range 4 {
			f.serve(testRequest(100+i, first))
			f.restart(i)
			attempts[i].End()
			time.Sleep(time.Second)
		}
		g.Expect(f.crashes.Load()).To(Equal(int64(4)))
		g.Expect(f.Check(testRequest(9, topic)).State).To(Equal(Suspected))
	})
}

// Guards against evidence from planned restarts, and from entries that are written late.
func TestRestartThatIsNoCrash(t *testing.T) {
	for name, restart := range map[string]func(f *poolFixture){
		"announced in a response": func(f *poolFixture) {
			f.leaving["i-0"] = true
			f.restart(0)
		},
		"announced in the entry": func(f *poolFixture) {
			leaving := *f.servers[0]
			leaving.Draining = true
			f.servers[0] = &leaving
			f.publish()
			started := leaving
			started.Draining = false
			f.servers[0] = &started
			f.restart(0)
		},
		"late write": func(f *poolFixture) {
			newest := f.servers[0].StartedAt
			f.start(0, newest-1)
			f.start(0, newest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newPoolFixture(3)
				a := f.Begin(f.servers[0], testRequest(1, topic))
				time.Sleep(time.Second)
				restart(f)
				a.End()
				g.Expect(f.crashes.Load()).To(BeZero())
			})
		})
	}
}

// Guards against an unanswered request that counts although its server has responded to others since.
func TestServerThatSurvivesAnUnansweredRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newPoolFixture(3)
		f.Begin(f.servers[0], testRequest(1, topic)).Unanswered()
		time.Sleep(registrationTime + time.Second)
		alive := f.Begin(f.servers[0], testRequest(2, first))
		time.Sleep(time.Millisecond)
		alive.Complete()
		f.restart(0)
		g.Expect(f.crashes.Load()).To(BeZero())
		g.Expect(f.restarts.unanswered).To(BeEmpty())
	})
}

// Guards against a crash that counts twice: when it is confirmed, and when the server is back.
func TestConfirmedCrashCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newPoolFixture(3)
		f.ended.Store(true)
		silent := f.Begin(f.servers[0], testRequest(1, bad))
		lost := f.Begin(f.servers[0], testRequest(2, bad))
		time.Sleep(time.Millisecond)
		g.Expect(lost.Lost(t.Context())).To(BeTrue())
		time.Sleep(10 * time.Second)
		f.Recent()
		silent.Unanswered()
		f.restart(0)
		g.Expect(f.crashes.Load()).To(Equal(int64(1)))
		g.Expect(f.Check(testRequest(9, bad)).Crashes).To(Equal(1))
	})
}

// Guards against unanswered requests that are kept without a bound, or for good.
func TestUnansweredRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newPoolFixture(3)
		for i := range 2 * maxUnanswered {
			f.Begin(f.servers[0], testRequest(i, topic)).Unanswered()
		}
		g.Expect(f.restarts.unanswered["i-0"]).To(HaveLen(maxUnanswered))
		time.Sleep(restartWindow + time.Second)
		f.Recent()
		g.Expect(f.restarts.unanswered).To(BeEmpty())
		g.Expect(f.guardFixture.servers).To(BeEmpty())
	})
}
