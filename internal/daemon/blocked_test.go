package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blockStatus returns the status of a request to cut links.
func blockStatus(d *Daemon, token string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/admin/blocked", strings.NewReader(`{"routers":["r2"]}`))
	r.Header.Set("Authorization", "Bearer "+token)
	d.operatorHandler().ServeHTTP(w, r)
	return w.Code
}

var _ = Describe("fault injection", func() {
	// Guards against links that can be cut where the settings do not allow faults, or by others than operators.
	It("cuts links only with the setting and the operators' token", func() {
		f := newTestFleet(1)
		d := f.daemons[0]
		Expect(blockStatus(d, "token")).To(Equal(http.StatusNotFound))
		allowed := *d.settings
		allowed.FaultInjection = true
		other := &Daemon{settings: &allowed, network: d.network}
		Expect(blockStatus(other, "token")).To(Equal(http.StatusOK))
		Expect(blockStatus(other, "wrong")).To(Equal(http.StatusUnauthorized))
	})
})
