package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrytide.example/gooseberrytide/internal/coordination/admission"
)

// speedCollector exports the observed speeds of the services that are scheduled by them.
type speedCollector struct {
	speeds                               func() []admission.SpeedStatus
	pace, prefillRate, pause, maxRunning *prometheus.Desc
}

func newSpeedCollector(speeds func() []admission.SpeedStatus) *speedCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("gooseberrytide_"+name, help, []string{"service"}, nil)
	}
	return &speedCollector{
		speeds:      speeds,
		pace:        desc("service_pace", "Mean pace that the backend servers announce; 1 is the usual pace."),
		prefillRate: desc("service_prefill_tokens_per_ms", "Observed prompt tokens per millisecond at the usual pace."),
		pause:       desc("service_pause_seconds", "Expected pause between two events with all slots in use; 0 is unknown."),
		maxRunning:  desc("service_max_running", "Requests that one backend server may run."),
	}
}

// Describe implements prometheus.Collector.
func (c *speedCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.pace, c.prefillRate, c.pause, c.maxRunning} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *speedCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range c.speeds() {
		gauge := func(d *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, s.Service)
		}
		gauge(c.pace, s.Pace)
		gauge(c.prefillRate, s.PrefillRate)
		gauge(c.pause, s.Pause.Seconds())
		gauge(c.maxRunning, float64(s.MaxRunning))
	}
}
