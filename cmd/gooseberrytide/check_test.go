package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gooseberrytide.example/gooseberrytide/platform"
)

const checkData = "testdata/check/"

// runCheck runs the check with a standard input. It returns the output and the exit code.
func runCheck(t *testing.T, input string, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	root := newRoot()
	root.Writer = &out
	root.Reader = strings.NewReader(input)
	err := root.Run(t.Context(), append([]string{"gooseberrytide", "check"}, args...))
	if strings.Contains(out.String(), "secret") {
		t.Errorf("output contains an API key: %s", &out)
	}
	if err == nil {
		return out.String(), 0
	}
	return out.String(), exitCode(err)
}

// expectLines fails unless the output has exactly the lines, in their order.
func expectLines(t *testing.T, out string, lines ...string) {
	t.Helper()
	if want := strings.Join(lines, "\n") + "\n"; out != want {
		t.Errorf("got\n%s\nwant\n%s", out, want)
	}
}

// Guards against findings about a sound configuration, which operators would learn to ignore.
func TestCheckGoodConfig(t *testing.T) {
	out, code := runCheck(t, "", "--strict", checkData+"good.json")
	expectLines(t, out, "errors: 0, warnings: 0")
	if code != 0 {
		t.Errorf("exit code is %d", code)
	}
}

// Guards against warnings that are missed or fail a check that is not strict.
func TestCheckWarnings(t *testing.T) {
	file := checkData + "warnings.json"
	out, code := runCheck(t, "", file)
	if code != 0 {
		t.Errorf("exit code without --strict is %d", code)
	}
	if _, code := runCheck(t, "", "--strict", file); code != 1 {
		t.Errorf("exit code with --strict is %d", code)
	}
	expectLines(t, out,
		file+`:5:21: warning: routes[0].objectiveMs: objective 1s is above the timeout 900ms`,
		file+`:5:40: warning: routes[0].resumable: has no effect: the route does not stream`,
		file+`:6:63: warning: routes[1].pathPrefix: route can never match: route "chat" has the same requests`,
		file+`:6:102: warning: routes[1].timeotMs: routers do not read this field`,
		file+`:7:64: warning: routes[2].pathPrefix: route can never match: "v2/" does not begin with a slash`,
		file+`:9:16: warning: services[0]: coldPerS and coldStartS take effect together only`,
		file+`:9:49: warning: services[1]: service "idle" is used by no route`,
		file+`:10:15: warning: tenants[0]: team "red" has no API key; no request can use it`,
		"errors: 0, warnings: 8")
}

// Guards against errors that are missed, and against an exit code that does not tell them from warnings.
func TestCheckErrors(t *testing.T) {
	file := checkData + "errors.json"
	out, code := runCheck(t, "", file)
	if code != 2 {
		t.Errorf("exit code is %d", code)
	}
	expectContains(t, out,
		file+`:3:14: error: version: field occurs more than once`,
		`error: routes[0].service: service "pol" does not exist`,
		`error: routes[0].timeoutMs: -1 is below 0`,
		`error: routes[1].name: name "chat" is taken`,
		`error: routes[1].split: no weight is above 0`,
		file+`:8:37: error: routes[1].split[1].weight: -5 is below 0`,
		`error: services[0].engine.slots: engine has no slots`,
		`error: services[1].name: name "pool" is taken`,
		`error: services[1].engine.kvCapacity: 4 tokens are fewer than the 12 slots`,
		`error: tenants[0].apiKeys[1]: API key is empty`,
		`error: tenants[1].apiKeys[0]: team "red" has the API key, too`)
}

// Guards against a check that accepts what the routers' decoder refuses, and against a wrong position of the fault.
func TestCheckUndecodableConfig(t *testing.T) {
	for name, want := range map[string]string{"syntax.json": ":3:14: error: ", "type.json": ":3:23: error: routes.name: "} {
		out, code := runCheck(t, "", checkData+name)
		expectContains(t, out, checkData+name+want)
		if code != 2 {
			t.Errorf("%s: exit code is %d", name, code)
		}
	}
}

// Guards against limits of the configuration that the routers' settings do not allow.
func TestCheckSettings(t *testing.T) {
	settings := checkData + "settings.yaml"
	out, code := runCheck(t, "", "--settings", settings, checkData+"good.json")
	expectContains(t, out, `warning: routes[1].timeoutMs: timeout 800ms is above the grace time 500ms`,
		"errors: 0, warnings: 1")
	if code != 0 {
		t.Errorf("exit code is %d", code)
	}
	out, _ = runCheck(t, "", "--settings", settings, checkData+"errors.json")
	expectContains(t, out, `error: limits.maxBodyBytes: 1073741824 bytes are above the 192937984 bytes of memory`)
}

// changedLines are the differences between good.json and changed.json.
var changedLines = []string{
	`change: configuration: version 8, was 7`,
	`change: route "orders": removed`,
	`change: route "chat": timeout 12s, was 10s`,
	`change: service "app": removed`,
	`change: service "pool": slots 16, was 12`,
	`change: team "blue": priority of the route, was 1`,
	`change: team "green": added`,
	`change: team "red": API keys: 1 added, 1 removed`,
	`change: team "green": API keys: 1 added, 0 removed`,
	`errors: 0, warnings: 0`,
}

// Guards against differences that are missed, and against a version that the routers ignore.
func TestCheckAgainstFile(t *testing.T) {
	out, _ := runCheck(t, "", "--against", checkData+"good.json", checkData+"changed.json")
	expectLines(t, out, changedLines...)
	out, code := runCheck(t, "", "--against", checkData+"changed.json", checkData+"good.json")
	expectContains(t, out, "good.json:2:14: error: version: 7 is below the version 8 in force; routers ignore it")
	if code != 2 {
		t.Errorf("exit code for a lower version is %d", code)
	}
	out, _ = runCheck(t, "", "--against", checkData+"good.json", checkData+"warnings.json")
	expectContains(t, out, "warnings.json:2:14: warning: version: is that of the configuration in force")
	out, _ = runCheck(t, "", "--against", checkData+"good.json", checkData+"good.json")
	expectLines(t, out, "no change to the version in force", "errors: 0, warnings: 0")
}

// Guards against a comparison with another key than that of the configuration, and against a write to the store.
func TestCheckAgainstStore(t *testing.T) {
	value, err := os.ReadFile(checkData + "good.json")
	if err != nil {
		t.Fatal(err)
	}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			t.Errorf("the store got %s %s", r.Method, r.URL)
		}
		w.Header().Set("Store-Era", "1")
		_ = json.NewEncoder(w).Encode(map[string]any{"currentRev": 9, "items": []map[string]any{
			{"key": platform.ConfigKey + "-old", "value": []byte("{}"), "revision": 3},
			{"key": platform.ConfigKey, "value": value, "revision": 5},
		}})
	}))
	defer store.Close()
	address := strings.TrimPrefix(store.URL, "http://")
	out, _ := runCheck(t, "", "--store", address, checkData+"changed.json")
	expectLines(t, out, changedLines...)
	store.Close()
	if _, code := runCheck(t, "", "--store", address, checkData+"changed.json"); code != 2 {
		t.Errorf("exit code without a store is %d", code)
	}
}

// Guards against JSON output that lacks the position of a finding, and against a standard input that is not read.
func TestCheckJSONFromStandardInput(t *testing.T) {
	out, code := runCheck(t, "{\n \"routes\": [{\"name\": \"a\", \"host\": \"a\", \"pathPrefix\": \"/\"}]}", "--json", "-")
	var report checkReport
	if err := json.Unmarshal([]byte(out), &report); err != nil {
		t.Fatal(err)
	}
	want := platform.ConfigFinding{
		Severity: platform.SeverityError, Position: platform.Position{Line: 2, Column: 13}, Field: "routes[0].service",
		Message: `service "" does not exist; its requests are refused`,
	}
	if code != 2 || report.File != "-" || len(report.Findings) != 1 || report.Findings[0] != want {
		t.Errorf("exit code %d, report %+v", code, report)
	}
}

// Guards against an exit code that says "warnings" for a file that was not checked.
func TestCheckUnreadableFile(t *testing.T) {
	for _, args := range [][]string{{"missing.json"}, {"--settings", "missing.yaml", checkData + "good.json"}, {"a", "b"}} {
		if _, code := runCheck(t, "", args...); code != 2 {
			t.Errorf("%v: exit code is %d", args, code)
		}
	}
}
