package order

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// Guards against loads that are missing from the token record after a restore because the response to their write was
// lost: the record of the copy had the last one already.
func TestLoadsAreWrittenAgainAfterALostResponse(t *testing.T) {
	g := NewWithT(t)
	store := kv.NewFake()
	l := &limiter{store: store, maxLoading: 4, maxPerMinute: 100, timeout: 10 * time.Minute}
	g.Expect(l.acquire(t.Context(), "e2", "b")).To(Succeed())
	store.Inject(func(op kv.Op, _ string) kv.Fault {
		if op == kv.OpCompareAndSwap {
			return kv.Fault{Kind: kv.FaultLostDropped}
		}
		return kv.Fault{}
	})
	start := time.Now().UnixMilli()
	running := []loadEntry{{ID: "a", Engine: "e1", StartMS: start}, {ID: "b", Engine: "e2", StartMS: start}}
	g.Expect(l.addAgain(t.Context(), running)).NotTo(Succeed())
	store.Inject(nil)
	g.Expect(l.addAgain(t.Context(), running)).To(Succeed())
	list, _, err := l.read(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(2))
}

// Guards against a load of the copy that counts until it expires, although its engine has another one since.
func TestLoadOfTheCopyEndsWhenItsEngineHasAnother(t *testing.T) {
	g := NewWithT(t)
	l := &limiter{store: kv.NewFake(), maxLoading: 1, maxPerMinute: 100, timeout: 10 * time.Minute}
	g.Expect(l.acquire(t.Context(), "e1", "old")).To(Succeed())
	g.Expect(l.addAgain(t.Context(), []loadEntry{{ID: "new", Engine: "e1", StartMS: time.Now().UnixMilli()}})).To(Succeed())
	g.Expect(l.release(t.Context(), "new")).To(Succeed())
	g.Expect(l.acquire(t.Context(), "e2", "next")).To(Succeed())
}
