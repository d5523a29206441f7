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
	// histogramBuckets bounds the memory of a histogram.
	histogramBuckets = 50
)

// metrics counts requests by outcome.
type metrics struct {
	outcomes   map[execute.Outcome]kitmetrics.Counter
	invalid    kitmetrics.Counter
	inFlight   kitmetrics.Gauge
	firstToken kitmetrics.Histogram
	duration   kitmetrics.Histogram
}

// sharedMetrics returns the process's metrics: a variable can be published only once.
var sharedMetrics = sync.OnceValue(newMetrics)

func newMetrics() *metrics {
	m := &metrics{
		outcomes:   map[execute.Outcome]kitmetrics.Counter{},
		invalid:    kitexpvar.NewCounter(metricInvalid),
		inFlight:   kitexpvar.NewGauge(metricInFlight),
		firstToken: kitexpvar.NewHistogram(metricFirstToken, histogramBuckets),
		duration:   kitexpvar.NewHistogram(metricDuration, histogramBuckets),
	}
	for _, o := range []execute.Outcome{execute.Completed, execute.Failed, execute.NotRun, execute.Unknown} {
		m.outcomes[o] = kitexpvar.NewCounter(metricPrefix + string(o))
	}
	return m
}

// ended counts a request that reached the executor.
func (m *metrics) ended(o execute.Outcome, took time.Duration) {
	if counter, ok := m.outcomes[o]; ok {
		counter.Add(1)
	}
	m.duration.Observe(float64(took.Milliseconds()))
}
