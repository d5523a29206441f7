package object

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// Kind is a kind of configuration object.
type Kind string

// The kinds of objects.
const (
	KindTeam          Kind = "team"
	KindService       Kind = "service"
	KindBackendServer Kind = "backend-server"
	KindModel         Kind = "model"
	KindVersion       Kind = "version"
	KindFailureDomain Kind = "failure-domain"
	KindVM            Kind = "vm"
)

// State is the operational state that an operator sets on a backend server or a VM.
type State string

// The operational states. An empty state means StateActive.
const (
	StateActive   State = "active"
	StateDraining State = "draining"
)

// OutagePolicy says how non-idempotent calls are handled while the key-value service is down.
type OutagePolicy string

const (
	// OutageRefuse refuses the call with the outcome not-run. It is the default.
	OutageRefuse OutagePolicy = "refuse"
	// OutageRun runs the call without a claim. Another call with the same key may then run it a second time.
	OutageRun OutagePolicy = "run"
)

// BackendKind is the kind of a backend server.
type BackendKind string

// The kinds of backend servers.
const (
	BackendModelEngine BackendKind = "model-engine"
	BackendService     BackendKind = "service"
)

// Team is a customer that sends requests.
type Team struct {
	Name string `json:"-"`
	// Weight determines the team's share relative to other teams. Default 1; range 0.01 to 1000.
	Weight float64 `json:"weight"`
	// APIKeyHashes are the hexadecimal SHA-256 hashes of the team's API keys. At least one is required.
	APIKeyHashes []string `json:"api_key_hashes,omitempty"`
	// MaxQueued limits the team's queued requests in one shard. Default 256; range 1 to 10000.
	MaxQueued int `json:"max_queued"`
	// MaxInFlight limits the team's running requests in one shard. Default 0: no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Service is a plain application service.
type Service struct {
	Name string `json:"-"`
	// Routes configure how calls are handled. The route with the longest matching path prefix applies.
	Routes []Route `json:"routes,omitempty"`
	// OnStoreOutage is the policy for non-idempotent calls during an outage of the key-value service. Default refuse.
	OnStoreOutage OutagePolicy `json:"on_store_outage"`
	// ClaimRetentionSeconds is how long the results of non-idempotent calls are kept. Default 86400; range 60 to
	// 2592000.
	ClaimRetentionSeconds int `json:"claim_retention_seconds"`
	// TimeoutSeconds limits the duration of a call, including queueing. Default 30; range 1 to 3600.
	TimeoutSeconds int `json:"timeout_seconds"`
}

// Route configures the calls of a service with a given method and path prefix.
type Route struct {
	// Method is an HTTP method. An empty method matches all.
	Method string `json:"method,omitempty"`
	// PathPrefix is the prefix of the path, with a leading slash.
	PathPrefix string `json:"path_prefix"`
	// Idempotent calls may run more than once. Default false: a call runs at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Cost is the cost of one call, in cost units. Default 1; range 1 to 1000000.
	Cost ident.Cost `json:"cost"`
}

// Model is a model that model engines serve.
type Model struct {
	Name string `json:"-"`
	// DefaultVersion names the version that serves requests without a version.
	DefaultVersion string `json:"default_version"`
	// InputTokenCost is the cost of a prompt token, in cost units. Default 1; range 0 to 1000.
	InputTokenCost ident.Cost `json:"input_token_cost"`
	// OutputTokenCost is the cost of a generated token, in cost units. Default 2; range 1 to 1000.
	OutputTokenCost ident.Cost `json:"output_token_cost"`
	// TimeoutSeconds limits the duration of a request, including queueing. Default 120; range 1 to 3600.
	TimeoutSeconds int `json:"timeout_seconds"`
}

// Version is a version of a model's weights.
type Version struct {
	Name string `json:"-"`
	// Model names the model.
	Model string `json:"model"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights"`
}

// BackendServer is a model engine or an instance of a plain service.
type BackendServer struct {
	Name string `json:"-"`
	// Kind is model-engine or service.
	Kind BackendKind `json:"kind"`
	// Address is the IP address and port, for example 10.0.0.1:8000.
	Address string `json:"address"`
	// FailureDomain names the failure domain that the backend server belongs to.
	FailureDomain string `json:"failure_domain"`
	// Model names the model that a model engine serves.
	Model string `json:"model,omitempty"`
	// Version names the version that a model engine loads. Default: the model's default version.
	Version string `json:"version,omitempty"`
	// Service names the service that a service instance runs.
	Service string `json:"service,omitempty"`
	// Slots is the maximum number of concurrent requests. Default 0: taken from load reports.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is set if the backend server refuses orders and calls with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Deduplicates is set if the backend server runs calls with the same Idempotency-Key once and repeats the response.
	Deduplicates bool `json:"deduplicates,omitempty"`
	// State is active or draining. A draining backend server gets no new requests.
	State State `json:"state"`
}

// FailureDomain is a group of machines that fail together.
type FailureDomain struct {
	Name string `json:"-"`
	// Region names the region that the failure domain belongs to.
	Region string `json:"region,omitempty"`
}

// VM is an entry VM whose operational state an operator sets.
type VM struct {
	Name string `json:"-"`
	// State is active or draining. The router on a draining VM is removed from the entry addresses.
	State State `json:"state"`
}

// Set is a complete configuration. It maps names to objects for each kind.
type Set struct {
	Teams          map[string]*Team
	Services       map[string]*Service
	BackendServers map[string]*BackendServer
	Models         map[string]*Model
	Versions       map[string]*Version
	FailureDomains map[string]*FailureDomain
	VMs            map[string]*VM

	// sources maps each decoded object to its file, which findings of Check include.
	sources map[ID]string
}
