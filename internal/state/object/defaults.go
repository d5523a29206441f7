package object

import "strings"

// Defaults of fields that are left out.
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

// ApplyDefaults fills the zero fields of a set that was built in code. Fields whose range includes zero stay zero.
// Decode applies the same defaults before it reads an object, so that an explicit zero in a file is kept and checked.
func ApplyDefaults(set *Set) {
	for _, team := range set.Teams {
		fill(&team.Weight, DefaultWeight)
		fill(&team.MaxQueued, DefaultMaxQueued)
	}
	for _, service := range set.Services {
		fillService(service)
	}
	for _, model := range set.Models {
		fill(&model.OutputTokenCost, DefaultOutputTokenCost)
		fill(&model.TimeoutSeconds, DefaultModelTimeoutSeconds)
	}
	for _, server := range set.BackendServers {
		fill(&server.State, StateActive)
	}
	for _, vm := range set.VMs {
		fill(&vm.State, StateActive)
	}
}

func fillService(service *Service) {
	fill(&service.OnStoreOutage, OutageRefuse)
	fill(&service.ClaimRetentionSeconds, DefaultClaimRetentionSeconds)
	fill(&service.TimeoutSeconds, DefaultServiceTimeoutSeconds)
	// The list is copied because clones of a set share it.
	routes := append([]Route(nil), service.Routes...)
	for i := range routes {
		fill(&routes[i].Cost, DefaultRouteCost)
	}
	service.Routes = routes
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// normalize brings equal contents to one form: hashes in lower case, and no empty lists.
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
