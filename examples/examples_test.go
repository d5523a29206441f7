package examples

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/daemon"
	"gooseberrytide.example/gooseberrytide/internal/state/object"
)

const testKey = "a key of the examples' test"

// Guards against example settings that a router refuses. The key file is replaced, because it exists only on VMs.
func TestSettings(t *testing.T) {
	files, err := filepath.Glob("settings/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example settings: %v", err)
	}
	for _, file := range files {
		if _, err := daemon.ReadSettings(withKeyFile(t, file)); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// withKeyFile returns a copy of a settings file whose key file exists.
func withKeyFile(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if _, ok := settings["shared_key"]; ok {
		t.Errorf("%s contains a shared key; examples must name a key file", file)
	}
	key := filepath.Join(t.TempDir(), "shared.key")
	if err := os.WriteFile(key, []byte(testKey), 0o600); err != nil {
		t.Fatal(err)
	}
	settings["shared_key_file"] = key
	data, err = json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), filepath.Base(file))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// objectCounts holds the object counts that the design page states for a deployment.
type objectCounts struct{ domains, engines, instances, teams int }

// Guards against example configurations that cannot be published or whose object counts differ from their deployment.
func TestObjects(t *testing.T) {
	for name, want := range map[string]objectCounts{
		"fernleigh": {domains: 3, engines: 12, instances: 3, teams: 16},
		"reciclaje": {domains: 4, engines: 12, instances: 4, teams: 16},
	} {
		t.Run(name, func(t *testing.T) {
			set := readObjects(t, filepath.Join(name, "objects.json"))
			got := objectCounts{domains: len(set.FailureDomains), teams: len(set.Teams)}
			for _, server := range set.BackendServers {
				if server.Kind == object.BackendModelEngine {
					got.engines++
				} else {
					got.instances++
				}
			}
			if got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func readObjects(t *testing.T, file string) *object.Set {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	set := object.NewSet()
	findings := object.Decode(file, data, set)
	findings = append(findings, object.Check(set)...)
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	return set
}

// Guards against an example with a wrong idempotency setting: credits, confirmations, call-outs and acknowledgements
// must not be repeated, and lookups need no claim.
func TestRoutesOfExamples(t *testing.T) {
	fernleigh := readObjects(t, "fernleigh/objects.json")
	reciclaje := readObjects(t, "reciclaje/objects.json")
	for _, c := range []struct {
		set           *object.Set
		service, path string
		idempotent    bool
	}{
		{fernleigh, "alarm", "/call-outs", false},
		{fernleigh, "alarm", "/acknowledgements", false},
		{reciclaje, "credit", "/credits", false},
		{reciclaje, "pickup", "/confirmations", false},
		{reciclaje, "pickup", "/stock", true},
	} {
		route, ok := routeFor(c.set.Services[c.service], c.path)
		if !ok || route.Idempotent != c.idempotent {
			t.Errorf("%s %s: route found: %t, idempotent: %t, want: %t", c.service, c.path, ok, route.Idempotent, c.idempotent)
		}
	}
}

func routeFor(service *object.Service, prefix string) (object.Route, bool) {
	for _, route := range service.Routes {
		if route.PathPrefix == prefix {
			return route, true
		}
	}
	return object.Route{}, false
}
