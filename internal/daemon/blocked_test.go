package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// postBlocked sends a request to block the link to r2 and returns the HTTP status of the response.
func postBlocked(d *Daemon, token string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/admin/blocked", strings.NewReader(`{"routers":["r2"]}`))
	r.Header.Set("Authorization", "Bearer "+token)
	d.operatorHandler().ServeHTTP(w, r)
	return w.Code
}

var _ = Describe("fault injection", func() {
	// Guards against an endpoint that blocks links although the settings do not enable fault injection, or without the
	// operators' token.
	It("blocks links only with the setting and the operators' token", func() {
		f := newTestFleet(1)
		d := f.daemons[0]
		Expect(postBlocked(d, "token")).To(Equal(http.StatusNotFound))
		allowed := *d.settings
		allowed.FaultInjection = true
		other := &Daemon{settings: &allowed, network: d.network}
		Expect(postBlocked(other, "token")).To(Equal(http.StatusOK))
		Expect(postBlocked(other, "wrong")).To(Equal(http.StatusUnauthorized))
	})
})
