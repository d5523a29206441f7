package daemon

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
})
