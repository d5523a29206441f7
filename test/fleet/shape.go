package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

// Shape describes a deployment: its routers, failure domains and backend servers, and the objects of its configuration.
type Shape struct {
	Name     string
	Routers  int
	Domains  []string
	Models   []ModelShape
	Services []ServiceShape
	Teams    []TeamShape
}

// ModelShape describes a model and its engines.
type ModelShape struct {
	Name    string
	Engines int
	// Slots is the batch size of each engine.
	Slots int
	// Args are additional arguments of the engine stand-in.
	Args []string
}

// ServiceShape describes a plain service and its instances.
type ServiceShape struct {
	Name      string
	Instances int
	Slots     int
	Routes    []object.Route
	// Deduplicates is set on the backend servers and on the stand-ins.
	Deduplicates bool
	Args         []string
}

// TeamShape describes a team and its weight.
type TeamShape struct {
	Name   string
	Weight float64
}

// APIKey returns the API key of a team in a test fleet.
func APIKey(team string) string { return "key-of-" + team }

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// objects returns the configuration without backend servers, whose addresses are known only once they have started.
func (s Shape) objects() *object.Set {
	set := object.NewSet()
	for _, domain := range s.Domains {
		set.FailureDomains[domain] = &object.FailureDomain{Name: domain}
	}
	for _, team := range s.Teams {
		set.Teams[team.Name] = &object.Team{
			Name:         team.Name,
			Weight:       team.Weight,
			APIKeyHashes: []string{hash(APIKey(team.Name))},
		}
	}
	for _, model := range s.Models {
		version := model.Name + "-v1"
		set.Models[model.Name] = &object.Model{Name: model.Name, DefaultVersion: version}
		set.Versions[version] = &object.Version{Name: version, Model: model.Name, Weights: version}
	}
	for _, service := range s.Services {
		set.Services[service.Name] = &object.Service{Name: service.Name, Routes: service.Routes}
	}
	return set
}

// domain returns the failure domain of the n-th machine. Machines are assigned to the domains in turn.
func (s Shape) domain(n int) string { return s.Domains[n%len(s.Domains)] }

func routerName(n int) string { return fmt.Sprintf("r%d", n+1) }
