package routing

import "time"

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with a series of events. They run at most once unless the route is resumable.
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

// Target is a service that a route leads to, with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how the requests under a path prefix of a host are treated.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable streams go on at another engine after the last event that was delivered.
	Resumable bool
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, within which the answer has its full value.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is still on time.
	MaxPause time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of backend servers that one request may be sent to.
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
	// Slots is the largest batch of one engine.
	Slots int
	// CacheTokens is the memory of one engine for running requests and cached prompts, in tokens.
	CacheTokens int
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Team is a customer that shares the backend servers with others.
type Team struct {
	Name string
	// Priority overrides the route's where it is set.
	Priority *int
	Keys     []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxBodyBytes int64
	// TokensPerSecond is the rate of all model engines together: tokens read count once, generated ones twice.
	TokensPerSecond float64
}

// Config is a whole routing configuration of one version.
type Config struct {
	// Version is the operators' number of the configuration.
	Version int64
	// Revision is the store's revision of the change that brought it.
	Revision int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
