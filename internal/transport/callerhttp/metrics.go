package callerhttp

import (
	"sync"
	"time"

	kitmetrics "github.com/go-kit/kit/metrics"
	kitexpvar "github.com/go-kit/kit/metrics/expvar"

	"gooseberrytide.example/gooseberrytide/internal/coordination/execute"
)

// Names of the published variables.
const (
	metricPrefix     = "caller_requests_"
	metricInvalid    = "caller_requests_invalid"
	metricInFlight   = "caller_in_flight"
	metricFirstToken = "caller_first_token_ms"
	metricDuration   = "caller_duration_ms"
	// histogramBuckets limits the memory of a histogram.
	histogramBuckets = 50
)

// metrics holds the counts of requests by outcome, the number in flight, and the latency histograms in milliseconds.
type metrics struct {
	outcomes   map[execute.Outcome]kitmetrics.Counter
	invalid    kitmetrics.Counter
	inFlight   kitmetrics.Gauge
	firstToken kitmetrics.Histogram
	duration   kitmetrics.Histogram
}

// sharedMetrics returns the metrics of the process. They are shared because an expvar name can be published only once.
var sharedMetrics = sync.OnceValue(newMetrics)

func newMetrics() *metrics {
	m := &metrics{
		outcomes:   map[execute.Outcome]kitmetrics.Counter{},
		invalid:    kitexpvar.NewCounter(metricInvalid),
		inFlight:   kitexpvar.NewGauge(metricInFlight),
		firstToken: kitexpvar.NewHistogram(metricFirstToken, histogramBuckets),
		duration:   kitexpvar.NewHistogram(metricDuration, histogramBuckets),
	}
	for _, outcome := range []execute.Outcome{execute.Completed, execute.Failed, execute.NotRun, execute.Unknown} {
		m.outcomes[outcome] = kitexpvar.NewCounter(metricPrefix + string(outcome))
	}
	return m
}

// recordOutcome counts a request by its outcome and records its duration.
func (m *metrics) recordOutcome(outcome execute.Outcome, duration time.Duration) {
	if counter, ok := m.outcomes[outcome]; ok {
		counter.Add(1)
	}
	m.duration.Observe(float64(duration.Milliseconds()))
}
