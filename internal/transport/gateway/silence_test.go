package gateway

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/test/standin/platformengine"
)

// silence is above the time after which a second server is tried, and below the client's deadline.
const silence = 1600 * time.Millisecond

// alternative is the state of the other server, if there is one, while the one that has the request is silent.
type alternative struct {
	name    string
	engines int
	mode    platformengine.Mode
}

var alternatives = []alternative{
	{"no other server", 1, platformengine.Silent},
	{"the other server is full", 2, platformengine.Full},
	{"the other server closes the connection", 2, platformengine.Reset},
	{"the other server is silent, too", 2, platformengine.Silent},
	{"the other server responds", 2, platformengine.Serve},
}

// newSilentHarness starts engines of which the first one falls silent and the others are in the given mode.
func newSilentHarness(t *testing.T, engines int, mode platformengine.Mode) *harness {
	t.Helper()
	h := newHarness(t, engines)
	h.setModes(mode)
	for _, e := range h.engines {
		e.Silence = silence
	}
	h.engines[0].SetMode(platformengine.Silent)
	return h
}

// Guards against a stream that is cut because its server sends nothing for a while, although the server goes on and no
// other server can take over.
func TestSilentServerDoesNotCutTheStream(t *testing.T) {
	for _, test := range alternatives {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newSilentHarness(t, test.engines, test.mode)
			for _, attempt := range []string{"a1", "a2"} {
				r := h.stream("/digest/x", attempt)
				r.Header.Set("Deadline-Ms", "5000")
				resp := h.do(r)
				g.Expect(resp.err).NotTo(HaveOccurred())
				g.Expect(resp.status).To(Equal(http.StatusOK))
				g.Expect(strings.Count(resp.body, "id: ")).To(Equal(5), resp.body)
			}
		})
	}
}

// Guards against a failure in place of a response that its server sends after a silence.
func TestSilentServerDoesNotFailTheRequest(t *testing.T) {
	for _, test := range append(slices.Clone(alternatives), alternative{"the other server breaks off", 2, platformengine.Truncate}) {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newSilentHarness(t, test.engines, test.mode)
			resp := h.do(h.request(http.MethodGet, "/lookup/x", "a1", ""))
			g.Expect(resp.err).NotTo(HaveOccurred())
			g.Expect(resp.status).To(Equal(http.StatusOK))
		})
	}
}
