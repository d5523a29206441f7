package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Measures the cost of a refusal. Under a flood most requests are refused, which could take all processor time of a
// small router.
func BenchmarkRefusal(b *testing.B) {
	h := newHarness(b, 0)
	body := strings.Repeat("x", 2000)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/digest/x", strings.NewReader(body))
		r.Host = "shed.example"
		r.Header.Set("Attempt-Id", "a")
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set("Deadline-Ms", "4000")
		r.Header.Set("Token-Usage", "1460,80")
		r.Header.Set("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,aa:250")
		rec := httptest.NewRecorder()
		h.gateway.ServeHTTP(rec, r)
		if rec.Code != http.StatusServiceUnavailable {
			NewWithT(b).Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
		}
	}
}
