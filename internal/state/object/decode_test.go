package object

import (
	"reflect"
	"strings"
	"testing"
)

const hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// allKindsFile contains at least one valid object of each kind.
const allKindsFile = `{"objects":[
{"kind":"failure-domain","name":"a","spec":{"region":"north"}},
{"kind":"model","name":"m","spec":{"default_version":"m-1","input_token_cost":0}},
{"kind":"version","name":"m-1","spec":{"model":"m","weights":"w/m-1"}},
{"kind":"service","name":"alarm","spec":{"routes":[{"method":"POST","path_prefix":"/ring"},{"path_prefix":"/","idempotent":true,"cost":3}]}},
{"kind":"backend-server","name":"e1","spec":{"kind":"model-engine","address":"10.0.0.1:8000","failure_domain":"a","model":"m"}},
{"kind":"backend-server","name":"s1","spec":{"kind":"service","address":"[fd00::1]:8000","failure_domain":"a","service":"alarm","slots":4}},
{"kind":"team","name":"farm","spec":{"api_key_hashes":["` + "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA" + `"]}},
{"kind":"vm","name":"r1","spec":{}}
]}`

func decodeAllKinds(t *testing.T) *Set {
	t.Helper()
	set := NewSet()
	if findings := Decode("whole.json", []byte(allKindsFile), set); len(findings) > 0 {
		t.Fatal(findings)
	}
	if findings := Check(set); len(findings) > 0 {
		t.Fatal(findings)
	}
	return set
}

// Guards against defaults that differ from the documented ones, and against an explicit zero that is treated as
// omitted.
func TestDecodeDefaults(t *testing.T) {
	set := decodeAllKinds(t)
	team := set.Teams["farm"]
	if team.Weight != 1 || team.MaxQueued != 256 || team.MaxInFlight != 0 || team.APIKeyHashes[0] != hashA {
		t.Errorf("team %+v", team)
	}
	service := set.Services["alarm"]
	want := &Service{
		Name: "alarm",
		Routes: []Route{
			{Method: "POST", PathPrefix: "/ring", Cost: 1}, {PathPrefix: "/", Idempotent: true, Cost: 3},
		},
		OnStoreOutage:         OutageRefuse,
		ClaimRetentionSeconds: 86400,
		TimeoutSeconds:        30,
	}
	if !reflect.DeepEqual(service, want) {
		t.Errorf("service %+v", service)
	}
	if model := set.Models["m"]; model.InputTokenCost != 0 || model.OutputTokenCost != 2 || model.TimeoutSeconds != 120 {
		t.Errorf("model %+v", model)
	}
	if server := set.BackendServers["e1"]; server.State != StateActive || set.VersionOf(server) != "m-1" {
		t.Errorf("backend server %+v", server)
	}
}

// Guards against a decoder that stops at the first finding, accepts misspelled fields, or reports the wrong location.
func TestDecodeFindings(t *testing.T) {
	set := NewSet()
	Decode("first.json", []byte(`{"objects":[{"kind":"vm","name":"r1","spec":{}}]}`), set)
	file := `{"objects":[
{"kind":"vm","name":"r1","spec":{}},
{"kind":"vm","name":"r2","spec":{"State":"active","sate":"active"}},
{"kind":"vm","name":"r3","spec":{"state":"active","state":"draining"}},
{"kind":"vm","name":"r4","spec":{"state":null}},
{"kind":"vm","name":"r5","spec":{},"extra":1},
{"kind":"tenant","name":"x","spec":{}},
{"kind":"vm","name":"a/b","spec":{}},
{"kind":"team","name":"t","spec":{"weight":"2","max_queued":1.5,"api_key_hashes":"x"}},
{"kind":"service","name":"s","spec":{"routes":[{"path_prefix":"/","cost":true,"x":1}]}},
7
]}`
	want := []string{
		"second.json: vm/r1: duplicate object; first in first.json",
		"second.json: vm/r2: spec.State: unknown field",
		"second.json: vm/r2: spec.sate: unknown field",
		"second.json: vm/r3: spec.state: repeated field",
		"second.json: vm/r4: spec.state: must not be null",
		"second.json: objects[4].extra: unknown field",
		`second.json: objects[5].kind: unknown kind "tenant"`,
		`second.json: objects[6].name: "a/b" must begin with a letter or digit and hold only letters, digits, '.', '_' and '-'`,
		`second.json: team/t: spec.weight: want a number, got "2"`,
		"second.json: team/t: spec.max_queued: want a whole number, got 1.5",
		`second.json: team/t: spec.api_key_hashes: want a list, got "x"`,
		"second.json: service/s: spec.routes[0].cost: want a whole number, got true",
		"second.json: service/s: spec.routes[0].x: unknown field",
		"second.json: objects[9]: want an object, got 7",
	}
	got := strings.Split(Decode("second.json", []byte(file), set).Error(), "\n")
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if set.Len() != 1 {
		t.Errorf("objects with findings were added: %v", set.IDs())
	}
}

// Guards against invalid fields and references that Check does not report.
func TestCheckRules(t *testing.T) {
	cases := map[string]struct {
		change func(*Set)
		want   string
	}{
		"weight": {
			func(s *Set) { s.Teams["farm"].Weight = 1001 },
			"team/farm: spec.weight: 1001 is outside 0.01 to 1000",
		},
		"queue": {
			func(s *Set) { s.Teams["farm"].MaxQueued = 0 },
			"team/farm: spec.max_queued: 0 is outside 1 to 10000",
		},
		"no key": {
			func(s *Set) { s.Teams["farm"].APIKeyHashes = nil },
			"team/farm: spec.api_key_hashes: needs at least one hash",
		},
		"plain key": {
			func(s *Set) { s.Teams["farm"].APIKeyHashes = []string{"secret"} },
			"team/farm: spec.api_key_hashes[0]: must be a SHA-256 hash of 64 hexadecimal digits",
		},
		"shared key": {
			func(s *Set) { s.Teams["flood"] = copyTeam(s.Teams["farm"], "flood") },
			"team/flood: spec.api_key_hashes[0]: already used by team/farm",
		},
		"policy": {
			func(s *Set) { s.Services["alarm"].OnStoreOutage = "x" },
			`service/alarm: spec.on_store_outage: "x" is neither "refuse" nor "run"`,
		},
		"retention": {
			func(s *Set) { s.Services["alarm"].ClaimRetentionSeconds = 59 },
			"service/alarm: spec.claim_retention_seconds: 59 is outside 60 to 2592000",
		},
		"route path": {
			func(s *Set) { s.Services["alarm"].Routes[0].PathPrefix = "ring" },
			`service/alarm: spec.routes[0].path_prefix: "ring" must begin with '/'`,
		},
		"route cost": {
			func(s *Set) { s.Services["alarm"].Routes[1].Cost = 0 },
			"service/alarm: spec.routes[1].cost: 0 is outside 1 to 1000000",
		},
		"route twice": {
			func(s *Set) { s.Services["alarm"].Routes[1] = s.Services["alarm"].Routes[0] },
			"service/alarm: spec.routes[1]: repeats the method and path prefix of an earlier route",
		},
		"version gone": {
			func(s *Set) { s.Models["m"].DefaultVersion = "m-2" },
			`model/m: spec.default_version: version "m-2" does not exist`,
		},
		"version of": {
			func(s *Set) { s.Models["n"] = &Model{DefaultVersion: "m-1", OutputTokenCost: 1, TimeoutSeconds: 1} },
			`model/n: spec.default_version: version "m-1" belongs to model "m", not "n"`,
		},
		"token cost": {
			func(s *Set) { s.Models["m"].OutputTokenCost = 0 },
			"model/m: spec.output_token_cost: 0 is outside 1 to 1000",
		},
		"weights": {
			func(s *Set) { s.Versions["m-1"].Weights = "" },
			"version/m-1: spec.weights: must have 1 to 1024 bytes",
		},
		"host name": {
			func(s *Set) { s.BackendServers["e1"].Address = "engine:8000" },
			`backend-server/e1: spec.address: "engine:8000" is not an IP address with a port, such as 10.0.0.1:8000`,
		},
		"port 0": {
			func(s *Set) { s.BackendServers["e1"].Address = "10.0.0.1:0" },
			`backend-server/e1: spec.address: "10.0.0.1:0" is not an IP address with a port, such as 10.0.0.1:8000`,
		},
		"same address": {
			func(s *Set) { s.BackendServers["s1"].Address = "[::ffff:10.0.0.1]:8000" },
			"backend-server/s1: spec.address: [::ffff:10.0.0.1]:8000 is already the address of backend-server/e1",
		},
		"no domain": {
			func(s *Set) { s.BackendServers["e1"].FailureDomain = "" },
			"backend-server/e1: spec.failure_domain: must name a failure-domain",
		},
		"model gone": {
			func(s *Set) { s.BackendServers["e1"].Model = "q" },
			`backend-server/e1: spec.model: model "q" does not exist`,
		},
		"both": {
			func(s *Set) { s.BackendServers["s1"].Model = "m" },
			"backend-server/s1: spec.model: is not allowed on a service",
		},
		"state": {
			func(s *Set) { s.VMs["r1"].State = "off" },
			`vm/r1: spec.state: "off" is neither "active" nor "draining"`,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			set := decodeAllKinds(t)
			tc.change(set)
			want := tc.want
			if !strings.HasPrefix(name, "shared") && !strings.HasPrefix(name, "version of") {
				want = "whole.json: " + want
			}
			if got := Check(set).Error(); got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

func copyTeam(team *Team, name string) *Team {
	copied := *team
	copied.Name = name
	return &copied
}

// Guards against findings that contain an API key because an operator wrote the key instead of its hash.
func TestFindingsHideKeys(t *testing.T) {
	set := decodeAllKinds(t)
	set.Teams["farm"].APIKeyHashes = []string{"sk-secret"}
	if text := Check(set).Error(); strings.Contains(text, "sk-secret") {
		t.Error(text)
	}
}
