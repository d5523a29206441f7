package gateway

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters and histograms of the gateway.
type Metrics struct {
	// Answers counts answers by class of status and by who made them.
	Answers *prometheus.CounterVec
	// Refusals counts refusals by reason.
	Refusals *prometheus.CounterVec
	// Sends counts sends to backend servers by result.
	Sends *prometheus.CounterVec
	// First is the time to the first event or the answer, in seconds, by kind of route.
	First *prometheus.HistogramVec
}

// firstBuckets cover objectives from 100 ms to the longest timeouts, in seconds.
var firstBuckets = []float64{.02, .05, .1, .2, .3, .45, .6, .8, 1, 1.5, 2.5, 5, 10}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_answers_total", Help: "Answers by class of status and origin.",
		}, []string{"class", "origin"}),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_refusals_total", Help: "Requests that were refused, by reason.",
		}, []string{"reason"}),
		Sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_sends_total", Help: "Sends to backend servers by result.",
		}, []string{"result"}),
		First: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gooseberrytide_first_seconds", Help: "Time to the first event or the answer.", Buckets: firstBuckets,
		}, []string{"kind"}),
	}
	r.MustRegister(m.Answers, m.Refusals, m.Sends, m.First)
	return m
}
