package reservation

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func fleet(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Router: fmt.Sprintf("r%02d", i), Domain: fmt.Sprintf("d%d", i%3), Cores: 0.8})
	}
	return list
}

func servers(n int) map[string]string {
	list := make(map[string]string)
	for i := range n {
		list[fmt.Sprintf("e%02d", i)] = fmt.Sprintf("d%d", i%3)
	}
	return list
}

// Guards against routers that name different owners, and against the loss of one router that moves the servers of all.
func TestOwnersAreTheSameOnAllRouters(t *testing.T) {
	g := NewWithT(t)
	candidates := fleet(30)
	owners := Owners(servers(60), candidates)
	g.Expect(owners).To(HaveLen(60))
	reversed := slices.Clone(candidates)
	slices.Reverse(reversed)
	g.Expect(Owners(servers(60), reversed)).To(Equal(owners))
	lost := owners["e00"]
	after := Owners(servers(60), slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Router == lost }))
	for server, owner := range owners {
		if owner != lost {
			g.Expect(after[server]).To(Equal(owner))
		}
	}
	g.Expect(Owners(servers(3), nil)).To(BeEmpty())
}

// Guards against small routers that keep the loads of many servers beside their clients, and against questions that
// leave the failure domain without need.
func TestOwnersAreStrongAndNear(t *testing.T) {
	g := NewWithT(t)
	candidates := fleet(30)
	for i := range candidates {
		if i >= 12 {
			candidates[i].Cores = 0.19
		}
	}
	byName := make(map[string]Candidate)
	for _, c := range candidates {
		byName[c.Router] = c
	}
	all := servers(60)
	for server, owner := range Owners(all, candidates) {
		g.Expect(byName[owner].Cores).To(Equal(0.8))
		g.Expect(byName[owner].Domain).To(Equal(all[server]))
	}
	g.Expect(Owners(map[string]string{"e": "elsewhere"}, candidates)).To(HaveKey("e"))
}

// Guards against requests that wait for an owner that is lost, and against answers that reach another request.
func TestAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		asks := NewAsks()
		answer, ok := asks.Ask(t.Context(), "k", func(id uint64) { go asks.Settle(Answer{ID: id, Granted: true}) })
		g.Expect(ok && answer.Granted).To(BeTrue())
		var lost uint64
		begin := time.Now()
		_, ok = asks.Ask(t.Context(), "k", func(id uint64) { lost = id })
		g.Expect(ok).To(BeFalse())
		g.Expect(time.Since(begin)).To(Equal(answerLimit))
		_, ok = asks.Ask(t.Context(), "k", func(uint64) { t.Error("a silent owner is asked") })
		g.Expect(ok).To(BeFalse())
		_, ok = asks.Ask(t.Context(), "other", func(id uint64) {
			asks.Settle(Answer{ID: lost})
			go asks.Settle(Answer{ID: id, Granted: true})
		})
		g.Expect(ok).To(BeTrue())
		time.Sleep(silentTime)
		_, ok = asks.Ask(t.Context(), "k", func(id uint64) { go asks.Settle(Answer{ID: id}) })
		g.Expect(ok).To(BeTrue())
		ctx, cancel := context.WithCancel(t.Context())
		_, ok = asks.Ask(ctx, "k", func(uint64) { cancel() })
		g.Expect(ok).To(BeFalse())
		_, ok = asks.Ask(t.Context(), "k", func(id uint64) { go asks.Settle(Answer{ID: id}) })
		g.Expect(ok).To(BeTrue(), "a client that left says nothing about the owner")
	})
}
