package main

import (
	"fmt"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/object"
	"gooseberrytide.example/gooseberrytide/test/fleet"
)

// Costs of tokens in cost units. They equal the defaults of model objects.
const (
	inputTokenCost  = 1
	outputTokenCost = 2
)

// teamLoad is the load of one team.
type teamLoad struct {
	name   string
	weight float64
	// outstanding is the number of completions that the team keeps outstanding in closed loops. 0 means an open loop.
	outstanding int
	// rate is the rate of an open loop in completions per second.
	rate float64
	// tokens is the mean number of tokens that a completion needs.
	tokens int
	// hintFactor is the ratio of max_tokens, which serves as the length hint, to the number of tokens needed.
	hintFactor float64
	// homeRouters is the number of routers over which the team's callers are spread; the others receive no requests
	// of the team directly.
	homeRouters int
	// floods is set for the team that sends load only in the second phase.
	floods bool
}

// deployment is a fleet shape with its load.
type deployment struct {
	shape   fleet.Shape
	teams   []teamLoad
	service string
	// callRate is the number of calls per second to the plain service.
	callRate float64
	// smallTeam is the team whose wait is compared with and without the flooding team.
	smallTeam string
}

const (
	engineSlots = 8
	decodeRate  = "60"
	prefillRate = "8000"
)

func engineArgs() []string {
	return []string{"--decode-rate", decodeRate, "--prefill-rate", prefillRate, "--natural-stop", "--any-model",
		"--load-lag", "400ms", "--cache-delay", "300ms", "--cache-gap-every", "7"}
}

// fernleigh has 3 failure domains, 12 model engines and 3 alarm engines.
func fernleigh() deployment {
	return deployment{
		shape: fleet.Shape{
			Name: "fernleigh", Routers: 8, Domains: []string{"midlands-a", "midlands-b", "midlands-c"},
			Models: []fleet.ModelShape{{Name: "summary", Engines: fernleighEngines, Slots: engineSlots, Args: engineArgs()}},
			Services: []fleet.ServiceShape{{Name: "alarm", Instances: 3, Slots: 8, Routes: routes(),
				Args: []string{"--latency", "20ms"}}},
			Teams: teamShapes("alarms", "routes"),
		},
		teams:   teamLoads("alarms", "routes"),
		service: "alarm", callRate: 20, smallTeam: "alarms",
	}
}

// reciclaje has 4 failure domains, 12 model engines and 4 pickup and credit engines.
func reciclaje() deployment {
	return deployment{
		shape: fleet.Shape{
			Name: "reciclaje", Routers: 8, Domains: []string{"sierra-a", "sierra-b", "sierra-c", "sierra-d"},
			Models: []fleet.ModelShape{
				{Name: "plans", Engines: 8, Slots: engineSlots, Args: engineArgs()},
				{Name: "compliance", Engines: 4, Slots: engineSlots, Args: engineArgs()},
			},
			Services: []fleet.ServiceShape{{Name: "credits", Instances: 4, Slots: 8, Routes: routes(),
				Args: []string{"--latency", "20ms"}}},
			Teams: teamShapes("auditors", "drivers"),
		},
		teams:   teamLoads("auditors", "drivers"),
		service: "credits", callRate: 20, smallTeam: "auditors",
	}
}

func routes() []object.Route {
	return []object.Route{{PathPrefix: "/lookup", Idempotent: true}, {PathPrefix: "/"}}
}

// fernleighEngines is the number of model engines of Fernleigh. More than 12 yield several shards.
var fernleighEngines = 12

// smallTeamWeight is the weight of deployment.smallTeam.
var smallTeamWeight = 1.0

// largeTeams is the number of teams with a constant backlog, not counting the flooding team.
const largeTeams = 4

// teamLoads returns the load of 16 teams: the small team whose wait is compared, four large teams with different
// weights, the flooding team, and ten other small teams. Some teams use only one or two routers, and max_tokens is up
// to ten times the number of tokens needed.
func teamLoads(small, flood string) []teamLoad {
	list := []teamLoad{{name: small, weight: smallTeamWeight, rate: 6, tokens: 20, hintFactor: 1, homeRouters: 8}}
	weights := []float64{1, 1, 2, 1}
	factors := []float64{1, 10, 2, 5}
	homes := []int{8, 1, 2, 4}
	for n := range largeTeams {
		list = append(list, teamLoad{
			name: fmt.Sprintf("large%d", n+1), weight: weights[n], outstanding: 48, tokens: meanTokens,
			hintFactor: factors[n], homeRouters: homes[n],
		})
	}
	list = append(list, teamLoad{
		name: flood, weight: 1, outstanding: 240, tokens: meanTokens, hintFactor: 3, homeRouters: 8, floods: true,
	})
	for n := range 10 {
		list = append(list, teamLoad{
			name: fmt.Sprintf("team%d", n+1), weight: 1, rate: 0.4, tokens: meanTokens, hintFactor: 2, homeRouters: 1 + n%8,
		})
	}
	return list
}

func teamShapes(small, flood string) []fleet.TeamShape {
	var out []fleet.TeamShape
	for _, t := range teamLoads(small, flood) {
		out = append(out, fleet.TeamShape{Name: t.name, Weight: t.weight})
	}
	return out
}

// Durations of the phases of a run.
const (
	warmUpDuration = 2 * time.Second
	phaseDuration  = 10 * time.Second
)
