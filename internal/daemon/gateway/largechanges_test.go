package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a router that keeps its old configuration after a cut, because the changes of the meantime exceed what it reads of
// one response of the store.
func TestMoreChangesThanAResponseAreRead(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 2)
	n := f.startRouter("r-a")
	g.Eventually(n.readinessStatus, "5s").Should(Equal(http.StatusOK))
	f.store.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	const configs, configBytes = 7, 1_000_000
	padding := fmt.Sprintf(`"note":%q,"routes"`, strings.Repeat("x", configBytes))
	for version := range configs {
		text := strings.Replace(fmt.Sprintf(configText, version+2, `"new-key"`), `"routes"`, padding, 1)
		f.store.Put("op/config", []byte(text))
	}
	f.store.SetDown(false)
	g.Eventually(func() int {
		status, _ := n.call("/callout/x", "after-the-cut", "new-key")
		return status
	}, "4s").Should(Equal(http.StatusOK))
}
