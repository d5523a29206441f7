package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/multierr"
)

const validSettings = `{
  "id": "r1", "failure_domain": "north",
  "peer_listen": "127.0.0.1:0", "caller_listen": "127.0.0.1:0",
  "shared_key": "0123456789abcdef",
  "store_url": "http://127.0.0.1:2379", "vm_list_url": "http://127.0.0.1:2380",
  "operator_token_hash": "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against defaults that are not filled in when a valid file is read.
func TestReadSettingsProvisionsDefaults(t *testing.T) {
	s, err := ReadSettings(writeSettings(t, validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.LogLevel != "info" || s.PeerAdvertise != s.PeerListen || s.DrainLimit() != defaultDrainLimit {
		t.Fatalf("defaults missing: %+v", s)
	}
}

// Guards against errors that contain only the first finding, lack the field name or reveal the shared key.
func TestReadSettingsReportsAllFindings(t *testing.T) {
	bad := strings.NewReplacer(
		`"r1"`, `"R 1"`, `"127.0.0.1:0", "caller`, `"localhost", "caller`, "0123456789abcdef", "short",
	).Replace(validSettings)
	_, err := ReadSettings(writeSettings(t, bad))
	findings := multierr.Errors(err)
	if len(findings) != 4 {
		t.Fatalf("want findings for id, peer_listen, peer_advertise and shared_key, got %v", err)
	}
	for _, field := range []string{": id: ", ": peer_listen: ", ": peer_advertise: ", ": shared_key: "} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("no finding for %q in %v", field, err)
		}
	}
	if strings.Contains(err.Error(), "short") {
		t.Error("the error contains the shared key")
	}
}

// Guards against misspelt settings that are silently ignored.
func TestReadSettingsRefusesUnknownFields(t *testing.T) {
	_, err := ReadSettings(writeSettings(t, strings.Replace(validSettings, `"id"`, `"drain_limit": 3, "id"`, 1)))
	if err == nil || !strings.Contains(err.Error(), "drain_limit") {
		t.Fatalf("got %v", err)
	}
}

// Guards against settings with which a router starts but cannot be reached by others or uses the wrong shared key.
func TestReadSettingsRefusesUnusableValues(t *testing.T) {
	for field, change := range map[string][2]string{
		"caller_advertise": {`"caller_listen": "127.0.0.1:0"`, `"caller_listen": "0.0.0.0:8080"`},
		"peer_advertise":   {`"peer_listen": "127.0.0.1:0"`, `"peer_listen": "[::]:7400"`},
		"caller_listen":    {`"caller_listen": "127.0.0.1:0"`, `"caller_listen": "127.0.0.1:http"`},
		"shared_key":       {`"id": "r1"`, `"id": "r1", "shared_key_file": "other.key"`},
		"text after":       {`855"` + "\n}", `855"` + "\n} {}"},
	} {
		text := strings.Replace(validSettings, change[0], change[1], 1)
		_, err := ReadSettings(writeSettings(t, text))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

// Guards against rejecting a wildcard listen address although the advertised address is usable.
func TestReadSettingsAcceptsWildcardListener(t *testing.T) {
	text := strings.Replace(validSettings, `"caller_listen": "127.0.0.1:0"`,
		`"caller_listen": "0.0.0.0:8080", "caller_advertise": "127.0.0.1:8080"`, 1)
	if _, err := ReadSettings(writeSettings(t, text)); err != nil {
		t.Fatal(err)
	}
}
