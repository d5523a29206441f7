package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/coordination/publish"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/internal/transport/etcdkv"
)

var _ = Describe("a store restored from an older copy", func() {
	const path = "/v1/services/callout/engineers"
	header := map[string]string{"Idempotency-Key": "call-out-8"}

	// Guards against a second execution of a call whose result the store lost, when its caller repeats it at another router.
	It("does not make a call run again", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		_, warm := f.post(f.daemons[1], path, "{}", map[string]string{"Idempotency-Key": "another"})
		Expect(warm).NotTo(BeEmpty())
		older := f.store.Copy()
		_, first := f.post(f.daemons[0], path, "{}", header)
		f.store.Restore(older)
		resp, _ := f.post(f.daemons[1], path, "{}", header)
		Expect(resp.Header.Get("Gooseberrytide-Outcome")).To(Or(Equal("unknown"), Equal("completed")))
		f.eventually("the result is recorded again", func() error {
			if _, repeated := f.post(f.daemons[1], path, "{}", header); repeated != first {
				return errors.New(repeated)
			}
			return nil
		})
		Expect(f.service.Counts().ByKey).To(HaveKeyWithValue("alarms/call-out-8", 1))
	})

	// Guards against routers that go back to the configuration of the copy, or serve nothing after a restore.
	It("does not take a configuration out of force", func() {
		f := newTestFleet(2)
		older := f.store.Copy()
		f.publish()
		f.awaitServing()
		generation := f.daemons[0].snapshot.Load().Generation()
		f.store.Restore(older)
		Consistently(func(g Gomega) {
			for _, d := range f.daemons {
				g.Expect(d.snapshot.Load().Generation()).To(Equal(generation))
			}
		}).WithTimeout(3 * time.Second).WithPolling(100 * time.Millisecond).Should(Succeed())
	})

	// Guards against an operator who edits the configuration of the copy and so reverts a publish that was
	// acknowledged, and against a store that keeps the older one although the operator publishes again.
	It("lets operators publish on the configuration in force", func() {
		f := newTestFleet(2)
		f.publish()
		f.awaitServing()
		backend := adminBackend{d: f.daemons[0]}
		first, base, _, err := backend.Config(context.Background())
		Expect(err).NotTo(HaveOccurred())
		older := f.store.Copy()
		newer := base.Clone()
		newer.Teams["pumps"] = &object.Team{Name: "pumps", APIKeyHashes: []string{sha256Hex("key-of-pumps")}}
		second, err := backend.Apply(context.Background(), first, newer)
		Expect(err).NotTo(HaveOccurred())
		f.store.Restore(older)

		generation, set, fromSnapshot, err := backend.Config(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(fromSnapshot).To(BeTrue()) // otherwise the operator's tool regards an unchanged configuration as published
		Expect(generation).To(Equal(second))
		Expect(set.Teams).To(HaveKey("pumps"))
		var conflict *publish.ConflictError
		_, err = backend.Apply(context.Background(), first, base)
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(conflict.Lost).To(BeTrue())
		f.eventually("status tells it", func() error {
			for _, problem := range f.daemons[0].adminStatus().Problems {
				if strings.HasPrefix(problem, "the store was restored") {
					return nil
				}
			}
			return errors.New("no problem is shown")
		})

		third, err := backend.Apply(context.Background(), generation, set)
		Expect(err).NotTo(HaveOccurred())
		Expect(third).To(BeNumerically(">", second))
		fresh := publish.NewPublisher(etcdkv.New(etcdkv.Options{URL: f.storeURL}), func() bool { return true })
		stored, set, err := fresh.Head(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(stored).To(Equal(third))
		Expect(set.Teams).To(HaveKey("pumps"))
		f.eventually("status is clear again", func() error {
			if _, lost := f.daemons[0].syncer.LostGeneration(); lost {
				return errors.New("still shown")
			}
			return nil
		})
	})
})
