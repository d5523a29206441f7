package gateway

import (
	"net/http"
	"net/url"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that gets the route of another path: an encoded slash does not separate segments, and other
// encoded characters are the same as the plain ones.
func TestRoutesAreMatchedBySegments(t *testing.T) {
	for target, want := range map[string]string{
		"/callout/x":           "/callout/x",
		"/callout%2Fx":         "/callout%2Fx",
		"/callout%2fx":         "/callout%2Fx",
		"/%63allout/x":         "/callout/x",
		"/callout/a%2Fb":       "/callout/a%2Fb",
		"/callout/a%20b%2F":    "/callout/a b%2F",
		"/callout/%252F":       "/callout/%2F",
		"/callout/x?q=%2F":     "/callout/x",
		"/callout%2F../open/x": "/callout%2F../open/x",
	} {
		g := NewWithT(t)
		u, err := url.ParseRequestURI(target)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(routePath(u)).To(Equal(want), target)
	}
	g := NewWithT(t)
	h := newHarness(t, 1)
	response := h.do(h.request(http.MethodPost, "/callout%2Fx", "encoded", "body"))
	g.Expect(response.status).To(Equal(http.StatusNotFound))
	g.Expect(h.totalRuns("encoded")).To(BeZero())
	response = h.do(h.request(http.MethodPost, "/callout/a%2Fb", "within", "body"))
	g.Expect(response.status).To(Equal(http.StatusOK))
}
