package routing

import "time"

// Kind says whether the requests of a route may be repeated and how they are answered.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with a stream of events. They run at most once unless the route is resumable.
	Stream
)

// String returns the kind's name for logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Target is a service that a route sends requests to, with the weight of its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route configures how the requests under a path prefix of a host are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable streams can continue on another engine after the last delivered event.
	Resumable bool
	// Timeout is the maximum time that the router holds a request.
	Timeout time.Duration
	// Objective is the latency objective: the time to the response, or to the first event of a stream, within which the
	// response has its full value.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that still counts as on time.
	MaxPause time.Duration
	// Priority is the urgency of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	Targets   []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum batch size of one engine, in requests.
	Slots int
	// CacheTokens is one engine's memory for running requests and cached prompts, in tokens.
	CacheTokens int
}

// Service is a group of backend servers that can run the same requests.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdPerSecond is the number of requests a second that a cold server takes from all routers together. 0 means that the
	// servers are never cold. ColdDuration is how long a server is cold after its start.
	ColdPerSecond float64
	ColdDuration  time.Duration
}

// Team is a customer that shares the backend servers with others.
type Team struct {
	Name string
	// Priority overrides the priority of the route, if set.
	Priority *int
	Keys     []string
}

// Limits bounds what clients may send.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request line with its header, HeaderTimeout the time in which they arrive.
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
	// TokensPerSecond is the rate of all model engines together. An input token counts once, a generated token twice.
	TokensPerSecond float64
}

// Config is one version of the complete routing configuration.
type Config struct {
	// Version is the number that the operators gave the configuration.
	Version int64
	// Revision is the store's revision of the change that wrote the configuration.
	Revision int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
