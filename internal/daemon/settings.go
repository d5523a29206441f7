package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/multierr"
)

const (
	defaultDrainLimit           = 120 * time.Second
	defaultAddressLifetime      = 10 * time.Second
	defaultClaimWritesPerSecond = 300
	minSharedKeyBytes           = 16
)

// Settings holds the settings of one router process. They are read once at start.
type Settings struct {
	// ID is the router's name, unique in the fleet and equal to its name in the VM list. Required.
	ID string `json:"id"`
	// FailureDomain names the failure domain of the VM. Required.
	FailureDomain string `json:"failure_domain"`
	// PeerListen is the IP address and port for other routers. Required.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the IP address and port that other routers connect to. Default: PeerListen.
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// CallerListen is the IP address and port for callers and operators. Required.
	CallerListen string `json:"caller_listen"`
	// CallerAdvertise is the IP address and port that callers connect to. Default: CallerListen.
	CallerAdvertise string `json:"caller_advertise,omitempty"`
	// SharedKey authenticates routers to each other. At least 16 bytes. One of SharedKey and SharedKeyFile is required.
	SharedKey string `json:"shared_key,omitempty"`
	// SharedKeyFile names a file that holds the shared key.
	SharedKeyFile string `json:"shared_key_file,omitempty"`
	// StoreURL is the base URL of the key-value service. Required.
	StoreURL string `json:"store_url"`
	// VMListURL is the base URL of the platform's VM list. Required.
	VMListURL string `json:"vm_list_url"`
	// OperatorTokenHash is the hexadecimal SHA-256 hash of the operators' token. Required.
	OperatorTokenHash string `json:"operator_token_hash"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty"`
	// DrainLimitSeconds bounds the duration of a graceful shutdown. Default 120; range 1 to 3600.
	DrainLimitSeconds int `json:"drain_limit_seconds,omitempty"`
	// AddressLifetimeSeconds is how long callers may cache an entry address. Default 10; range 1 to 300.
	AddressLifetimeSeconds int `json:"address_lifetime_seconds,omitempty"`
	// ClaimWritesPerSecond limits the store writes of the whole fleet for claims. Default 300; range 2 to 100000.
	ClaimWritesPerSecond int `json:"claim_writes_per_second,omitempty"`
	// FaultInjection enables the operator endpoint that blocks links to peers. Default false; for tests only.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// DrainLimit returns the longest duration of a graceful shutdown.
func (s *Settings) DrainLimit() time.Duration {
	return time.Duration(s.DrainLimitSeconds) * time.Second
}

// AddressLifetime returns how long callers may cache an entry address.
func (s *Settings) AddressLifetime() time.Duration {
	return time.Duration(s.AddressLifetimeSeconds) * time.Second
}

// ReadSettings reads a settings file, fills in defaults and validates the result. The error reports all findings
// together, each with file and field.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return nil, errors.Wrapf(err, "%s: invalid JSON", path)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Errorf("%s: invalid JSON: text after the settings object", path)
	}
	if err := s.provision(); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if err := s.validate(path); err != nil {
		return nil, err
	}
	return &s, nil
}

// provision fills in defaults and reads the file that holds the shared key.
func (s *Settings) provision() error {
	if s.SharedKeyFile != "" && s.SharedKey != "" {
		return errors.New("shared_key: not allowed together with shared_key_file")
	}
	if s.SharedKeyFile != "" {
		key, err := os.ReadFile(s.SharedKeyFile)
		if err != nil {
			return errors.Wrap(err, "shared_key_file")
		}
		s.SharedKey = string(bytes.TrimSpace(key))
	}
	setDefault(&s.PeerAdvertise, s.PeerListen)
	setDefault(&s.CallerAdvertise, s.CallerListen)
	setDefault(&s.LogLevel, "info")
	setDefault(&s.DrainLimitSeconds, int(defaultDrainLimit/time.Second))
	setDefault(&s.AddressLifetimeSeconds, int(defaultAddressLifetime/time.Second))
	setDefault(&s.ClaimWritesPerSecond, defaultClaimWritesPerSecond)
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

var (
	routerIDPattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?$`)
	tokenHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	logLevels        = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
)

// validate checks all fields and returns the findings as one error.
func (s *Settings) validate(path string) error {
	var findings error
	report := func(field, format string, args ...any) {
		findings = multierr.Append(findings, errors.Errorf("%s: %s: %s", path, field, fmt.Sprintf(format, args...)))
	}
	if !routerIDPattern.MatchString(s.ID) {
		report("id", "must be 1 to 32 lower-case letters, digits and inner dashes, got %q", s.ID)
	}
	if s.FailureDomain == "" {
		report("failure_domain", "is required")
	}
	checkAddress(report, "peer_listen", s.PeerListen)
	checkAdvertised(report, "peer_advertise", s.PeerAdvertise)
	checkAddress(report, "caller_listen", s.CallerListen)
	checkAdvertised(report, "caller_advertise", s.CallerAdvertise)
	if len(s.SharedKey) < minSharedKeyBytes {
		report("shared_key", "must have at least %d bytes", minSharedKeyBytes)
	}
	checkURL(report, "store_url", s.StoreURL)
	checkURL(report, "vm_list_url", s.VMListURL)
	if !tokenHashPattern.MatchString(s.OperatorTokenHash) {
		report("operator_token_hash", "must be 64 hexadecimal digits")
	}
	if !logLevels[s.LogLevel] {
		report("log_level", "must be debug, info, warn or error, got %q", s.LogLevel)
	}
	checkRange(report, "drain_limit_seconds", s.DrainLimitSeconds, 1, 3600)
	checkRange(report, "address_lifetime_seconds", s.AddressLifetimeSeconds, 1, 300)
	checkRange(report, "claim_writes_per_second", s.ClaimWritesPerSecond, 2, 100_000)
	return findings
}

type reportFunc func(field, format string, args ...any)

func checkAddress(report reportFunc, field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		report(field, "must be an IP address and port, got %q", address)
	}
}

// checkAdvertised checks an advertised address, which defaults to the listen address. An unspecified address such as
// 0.0.0.0 is a finding, because others cannot connect to it.
func checkAdvertised(report reportFunc, field, address string) {
	checkAddress(report, field, address)
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().IsUnspecified() {
		report(field, "must be an address that others can connect to, got %q", address)
	}
}

func checkURL(report reportFunc, field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		report(field, "must be an http or https URL, got %q", value)
	}
}

func checkRange(report reportFunc, field string, value, low, high int) {
	if value < low || value > high {
		report(field, "must be from %d to %d, got %d", low, high, value)
	}
}
