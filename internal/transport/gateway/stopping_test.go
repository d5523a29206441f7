package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// Guards against a router that stops and leaves requests without a response, or refuses some that may have run.
func TestStoppingRouterEndsRequests(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.setModes(platformengine.Hang)
	ctx, stop := context.WithCancelCause(t.Context())
	const most = 100
	responses := make(chan *httptest.ResponseRecorder, most)
	send := func(i int) {
		r := h.request(http.MethodPost, "/callout/x", fmt.Sprint("a", i), "")
		r.RequestURI = r.URL.RequestURI()
		w := httptest.NewRecorder()
		h.gateway.ServeHTTP(w, r.WithContext(ctx))
		responses <- w
	}
	sent := 0
	for ; h.admission.Waiting() == 0 && sent < most; sent++ {
		go send(sent)
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(h.admission.Waiting()).To(Equal(1), "a request waits for the server")
	h.admission.StopSends()
	stop(ErrStopping)
	statuses := make(map[int]int)
	for range sent {
		var w *httptest.ResponseRecorder
		g.Eventually(responses, "200ms").Should(Receive(&w))
		statuses[w.Code]++
		if w.Code == http.StatusServiceUnavailable {
			g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	g.Expect(statuses).To(Equal(map[int]int{http.StatusBadGateway: sent - 1, http.StatusServiceUnavailable: 1}))
}
