package gateway

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the counters and histograms of the gateway.
type Metrics struct {
	// Answers counts responses by status class and by origin, which is "server" or "router".
	Answers *prometheus.CounterVec
	// Refusals counts refusals by reason.
	Refusals *prometheus.CounterVec
	// Sends counts sends to backend servers by result.
	Sends *prometheus.CounterVec
	// Withdrawals counts requests that were granted a server and not sent to it, by reason.
	Withdrawals *prometheus.CounterVec
	// CutResponses counts requests whose connection was closed without a complete response, by cause.
	CutResponses *prometheus.CounterVec
	// InvalidResponses counts responses that exceed the limits of the protocol.
	InvalidResponses prometheus.Counter
	// LeavingServers counts backend servers whose responses said that they leave, ServerPauses responses that asked for a
	// pause.
	LeavingServers prometheus.Counter
	ServerPauses   prometheus.Counter
	// ServerLimits counts the changes of limits that servers name, by change. InvalidLimits counts responses that name one
	// that is not valid.
	ServerLimits  *prometheus.CounterVec
	InvalidLimits prometheus.Counter
	// InvalidWarmups counts responses that name a warm-up time that is not valid.
	InvalidWarmups prometheus.Counter
	// TimeToFirst is the time to the first event, or to the response, in seconds, by kind of route.
	TimeToFirst *prometheus.HistogramVec
}

// timeToFirstBuckets are bucket limits in seconds. They cover objectives from 100 ms up to the longest timeouts.
var timeToFirstBuckets = []float64{.02, .05, .1, .2, .3, .45, .6, .8, 1, 1.5, 2.5, 5, 10}

// NewMetrics creates the metrics and registers them with r.
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
		Withdrawals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_withdrawals_total",
			Help: "Requests that were granted a backend server and not sent to it, because of what became known meanwhile, by reason.",
		}, []string{"reason"}),
		CutResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_cut_responses_total",
			Help: "Requests whose connection was closed without a complete answer, by cause.",
		}, []string{"cause"}),
		InvalidResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrytide_invalid_responses_total",
			Help: "Answers of backend servers that exceed the limits of the protocol.",
		}),
		LeavingServers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrytide_leaving_servers_total", Help: "Backend servers whose answers said that they leave.",
		}),
		ServerPauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrytide_server_pauses_total", Help: "Answers of backend servers that asked for a pause.",
		}),
		ServerLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrytide_server_limit_changes_total",
			Help: "Changes of the limits of requests a second that backend servers name, by change.",
		}, []string{"change"}),
		InvalidLimits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrytide_invalid_limits_total",
			Help: "Answers of backend servers that name a limit which is not valid.",
		}),
		InvalidWarmups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrytide_invalid_warmups_total",
			Help: "Answers of backend servers that name a warm-up time which is not valid.",
		}),
		TimeToFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gooseberrytide_first_seconds", Help: "Time to the first event or the answer.", Buckets: timeToFirstBuckets,
		}, []string{"kind"}),
	}
	r.MustRegister(m.Answers, m.Refusals, m.Sends, m.Withdrawals, m.CutResponses, m.InvalidResponses, m.LeavingServers, m.ServerPauses,
		m.ServerLimits, m.InvalidLimits, m.InvalidWarmups, m.TimeToFirst)
	return m
}
