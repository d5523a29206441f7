package object

import "gooseberrytide.example/gooseberrytide/internal/state/ident"

// Kind names a kind of object.
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

// State is the operating state that an operator sets on a backend server or a VM.
type State string

// The operating states. An empty state means StateActive.
const (
	StateActive   State = "active"
	StateDraining State = "draining"
)

// OutagePolicy says what happens to non-idempotent calls while the key-value service is down.
type OutagePolicy string

const (
	// OutageRefuse answers not-run. It is the default.
	OutageRefuse OutagePolicy = "refuse"
	// OutageRun runs the call without a claim. A repeat of the key may then run a second time.
	OutageRun OutagePolicy = "run"
)

// BackendKind says what a backend server is.
type BackendKind string

// The kinds of backend servers.
const (
	BackendModelEngine BackendKind = "model-engine"
	BackendService     BackendKind = "service"
)

// Team is a customer that sends requests.
type Team struct {
	Name string `json:"-"`
	// Weight is the team's share relative to other teams. Default 1; range 0.01 to 1000.
	Weight float64 `json:"weight"`
	// APIKeyHashes are hexadecimal SHA-256 hashes of the team's API keys. At least one.
	APIKeyHashes []string `json:"api_key_hashes,omitempty"`
	// MaxQueued bounds the team's waiting requests in one shard. Default 256; range 1 to 10000.
	MaxQueued int `json:"max_queued"`
	// MaxInFlight bounds the team's running requests in one shard. Default 0: no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Service is a plain application service.
type Service struct {
	Name string `json:"-"`
	// Routes say how calls are treated. The longest matching prefix wins.
	Routes []Route `json:"routes,omitempty"`
	// OnStoreOutage is the policy for non-idempotent calls during an outage of the key-value service. Default refuse.
	OnStoreOutage OutagePolicy `json:"on_store_outage"`
	// ClaimRetentionSeconds is how long results of non-idempotent calls are kept. Default 86400; range 60 to 2592000.
	ClaimRetentionSeconds int `json:"claim_retention_seconds"`
	// TimeoutSeconds bounds one call, queueing included. Default 30; range 1 to 3600.
	TimeoutSeconds int `json:"timeout_seconds"`
}

// Route is a set of calls of a service.
type Route struct {
	// Method is an HTTP method. Empty matches all.
	Method string `json:"method,omitempty"`
	// PathPrefix is the path's beginning, with a leading slash.
	PathPrefix string `json:"path_prefix"`
	// Idempotent says that calls may be repeated. Default false: a call runs at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Cost is the charge of one call in cost units. Default 1; range 1 to 1000000.
	Cost ident.Cost `json:"cost"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `json:"-"`
	// DefaultVersion names the version that requests without a version get.
	DefaultVersion string `json:"default_version"`
	// InputTokenCost is the charge of a prompt token in cost units. Default 1; range 0 to 1000.
	InputTokenCost ident.Cost `json:"input_token_cost"`
	// OutputTokenCost is the charge of a generated token in cost units. Default 2; range 1 to 1000.
	OutputTokenCost ident.Cost `json:"output_token_cost"`
	// TimeoutSeconds bounds one request, queueing included. Default 120; range 1 to 3600.
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
	// Kind says what the backend server is.
	Kind BackendKind `json:"kind"`
	// Address is the IP address and port, as in 10.0.0.1:8000.
	Address string `json:"address"`
	// FailureDomain names the failure domain it stands in.
	FailureDomain string `json:"failure_domain"`
	// Model names the model that a model engine serves.
	Model string `json:"model,omitempty"`
	// Version names the version that a model engine is ordered to load. Default: the model's default version.
	Version string `json:"version,omitempty"`
	// Service names the service of a plain service's instance.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that run at once. Default 0: learned from load reports.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing says that it refuses an order or call with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Deduplicates says that it runs calls with the same Idempotency-Key once and repeats the answer.
	Deduplicates bool `json:"deduplicates,omitempty"`
	// State is active or draining. A draining backend server gets no new work.
	State State `json:"state"`
}

// FailureDomain is a zone whose machines fail together.
type FailureDomain struct {
	Name string `json:"-"`
	// Region names the region that the failure domain belongs to.
	Region string `json:"region,omitempty"`
}

// VM is an entry VM whose operating state an operator wants to change.
type VM struct {
	Name string `json:"-"`
	// State is active or draining. The router on a draining VM leaves the entry addresses.
	State State `json:"state"`
}

// Set is a whole configuration, by kind and name.
type Set struct {
	Teams          map[string]*Team
	Services       map[string]*Service
	BackendServers map[string]*BackendServer
	Models         map[string]*Model
	Versions       map[string]*Version
	FailureDomains map[string]*FailureDomain
	VMs            map[string]*VM

	// sources holds the file of each decoded object, so that findings of Check can name it.
	sources map[ID]string
}
