package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against routers that refuse requests with valid keys although the store answers, because the bound on the age of
// the configuration is shorter than the time between confirmations.
func TestShortRevocationBoundIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	f.revokeMS = 2500
	for i := range 3 {
		f.startRouter(fmt.Sprintf("r-%d", i))
	}
	for _, n := range f.nodes {
		g.Eventually(n.readinessStatus, "8s").Should(Equal(http.StatusOK))
	}
	statuses := make(map[string]int)
	for i := range 100 {
		for _, n := range f.nodes {
			status, _ := n.call("/callout/x", fmt.Sprint(n.settings.Router, i), "farm-key")
			statuses[fmt.Sprint(n.settings.Router, " ", status)]++
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(statuses).To(Equal(map[string]int{"r-0 200": 100, "r-1 200": 100, "r-2 200": 100}))
}
