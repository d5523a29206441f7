package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
)

// Guards against metrics of speeds that cannot be gathered, or that mix services or units up.
func TestSpeedsAreExported(t *testing.T) {
	g := NewWithT(t)
	registry := prometheus.NewRegistry()
	registry.MustRegister(newSpeedCollector(func() []admission.SpeedStatus {
		return []admission.SpeedStatus{
			{Service: "pool", Pace: 1.2, PrefillRate: 157, Pause: 45 * time.Millisecond, MaxRunning: 12},
			{Service: "app", Pace: 1, MaxRunning: 9},
		}
	}))
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	values := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			values[m.GetLabel()[0].GetValue()+" "+family.GetName()] = m.GetGauge().GetValue()
		}
	}
	g.Expect(values).To(HaveLen(8))
	g.Expect(values).To(HaveKeyWithValue("pool gooseberrytide_service_pace", 1.2))
	g.Expect(values).To(HaveKeyWithValue("pool gooseberrytide_service_prefill_tokens_per_ms", 157.0))
	g.Expect(values).To(HaveKeyWithValue("pool gooseberrytide_service_pause_seconds", 0.045))
	g.Expect(values).To(HaveKeyWithValue("app gooseberrytide_service_max_running", 9.0))
}
