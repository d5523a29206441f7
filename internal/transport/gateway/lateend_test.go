package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stream whose end does not reach the client because the server sent it longer after the last event
// than a write to the client may take.
func TestLateEndOfAStreamReachesTheClient(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.engines[0].Events, h.engines[0].Pause = 1, writeTimeout+200*time.Millisecond
	r := h.stream("/digest/x", "late-end")
	r.Header.Set("Deadline-Ms", "6000")
	resp := h.do(r)
	g.Expect(resp.err).NotTo(HaveOccurred())
	g.Expect(resp.status).To(Equal(http.StatusOK))
	g.Expect(strings.Count(resp.body, "id: ")).To(Equal(1))
}
