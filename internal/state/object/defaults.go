package object

import "strings"

// Default values of omitted fields.
const (
	DefaultWeight                = 1.0
	DefaultMaxQueued             = 256
	DefaultClaimRetentionSeconds = 86400
	DefaultServiceTimeoutSeconds = 30
	DefaultModelTimeoutSeconds   = 120
	DefaultRouteCost             = 1
	DefaultInputTokenCost        = 1
	DefaultOutputTokenCost       = 2
)

func defaultTeam() Team {
	return Team{Weight: DefaultWeight, MaxQueued: DefaultMaxQueued}
}

func defaultService() Service {
	return Service{
		OnStoreOutage:         OutageRefuse,
		ClaimRetentionSeconds: DefaultClaimRetentionSeconds,
		TimeoutSeconds:        DefaultServiceTimeoutSeconds,
	}
}

func defaultRoute() Route { return Route{Cost: DefaultRouteCost} }

func defaultModel() Model {
	return Model{
		InputTokenCost:  DefaultInputTokenCost,
		OutputTokenCost: DefaultOutputTokenCost,
		TimeoutSeconds:  DefaultModelTimeoutSeconds,
	}
}

func defaultBackendServer() BackendServer { return BackendServer{State: StateActive} }

func defaultVM() VM { return VM{State: StateActive} }

// ApplyDefaults sets the defaults of zero fields in a set that was built in code. Fields whose range includes zero are
// left unchanged. Decode applies defaults before it decodes an object, so that an explicit zero in a file is kept and
// checked.
func ApplyDefaults(set *Set) {
	for _, team := range set.Teams {
		setDefault(&team.Weight, DefaultWeight)
		setDefault(&team.MaxQueued, DefaultMaxQueued)
	}
	for _, service := range set.Services {
		setServiceDefaults(service)
	}
	for _, model := range set.Models {
		setDefault(&model.OutputTokenCost, DefaultOutputTokenCost)
		setDefault(&model.TimeoutSeconds, DefaultModelTimeoutSeconds)
	}
	for _, server := range set.BackendServers {
		setDefault(&server.State, StateActive)
	}
	for _, vm := range set.VMs {
		setDefault(&vm.State, StateActive)
	}
}

func setServiceDefaults(service *Service) {
	setDefault(&service.OnStoreOutage, OutageRefuse)
	setDefault(&service.ClaimRetentionSeconds, DefaultClaimRetentionSeconds)
	setDefault(&service.TimeoutSeconds, DefaultServiceTimeoutSeconds)
	// The list is copied because clones of a set share its elements.
	routes := append([]Route(nil), service.Routes...)
	for i := range routes {
		setDefault(&routes[i].Cost, DefaultRouteCost)
	}
	service.Routes = routes
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// normalize gives equal objects the same representation: hashes in lower case, and nil instead of empty lists.
func normalize(spec any) {
	switch o := spec.(type) {
	case *Team:
		for i, hash := range o.APIKeyHashes {
			o.APIKeyHashes[i] = strings.ToLower(hash)
		}
		if len(o.APIKeyHashes) == 0 {
			o.APIKeyHashes = nil
		}
	case *Service:
		if len(o.Routes) == 0 {
			o.Routes = nil
		}
	}
}
