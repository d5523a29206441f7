package object

import (
	"net/netip"
	"regexp"
	"strings"
)

// Limits of the fields' values.
const (
	MinWeight                = 0.01
	MaxWeight                = 1000
	MaxMaxQueued             = 10_000
	MaxMaxInFlight           = 100_000
	MinClaimRetentionSeconds = 60
	MaxClaimRetentionSeconds = 2_592_000
	MaxTimeoutSeconds        = 3600
	MaxRouteCost             = 1_000_000
	MaxTokenCost             = 1000
	MaxSlots                 = 10_000
)

// maxAPIKeyHashes leaves room for old and new keys during a key rotation and limits the size of the snapshot's index.
const maxAPIKeyHashes = 16

// maxPathBytes and maxRoutes keep an encoded object below half of the store's maximum value size, so that it always
// fits into a chunk. maxRoutes also bounds the search for the longest matching prefix.
const (
	maxPathBytes = 256
	maxRoutes    = 1000
)

// maxWeightsBytes is the maximum length of the name of weights in the weight store.
const maxWeightsBytes = 1024

var (
	hashPattern   = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

func (c *checker) checkTeam(t *Team) {
	c.checkFloat("weight", t.Weight, MinWeight, MaxWeight)
	c.checkInt("max_queued", int64(t.MaxQueued), 1, MaxMaxQueued)
	c.checkInt("max_in_flight", int64(t.MaxInFlight), 0, MaxMaxInFlight)
	if len(t.APIKeyHashes) == 0 {
		c.report("api_key_hashes", "needs at least one hash")
	}
	if len(t.APIKeyHashes) > maxAPIKeyHashes {
		c.report("api_key_hashes", "has %d hashes; at most %d are allowed", len(t.APIKeyHashes), maxAPIKeyHashes)
	}
	for i, hash := range t.APIKeyHashes {
		c.checkAPIKeyHash(elementPath("api_key_hashes", i), hash)
	}
}

// checkAPIKeyHash reports a hash that is malformed or already used. Findings never include the value, because an
// operator may have written the key itself instead of its hash.
func (c *checker) checkAPIKeyHash(field, hash string) {
	if !hashPattern.MatchString(hash) {
		c.report(field, "must be a SHA-256 hash of 64 hexadecimal digits")
		return
	}
	hash = strings.ToLower(hash)
	owner, taken := c.hashes[hash]
	if taken {
		c.report(field, "already used by %s", owner)
		return
	}
	c.hashes[hash] = c.id.String()
}

func (c *checker) checkService(s *Service) {
	if s.OnStoreOutage != OutageRefuse && s.OnStoreOutage != OutageRun {
		c.report("on_store_outage", "%q is neither %q nor %q", s.OnStoreOutage, OutageRefuse, OutageRun)
	}
	c.checkInt("claim_retention_seconds", int64(s.ClaimRetentionSeconds),
		MinClaimRetentionSeconds, MaxClaimRetentionSeconds)
	c.checkInt("timeout_seconds", int64(s.TimeoutSeconds), 1, MaxTimeoutSeconds)
	if len(s.Routes) > maxRoutes {
		c.report("routes", "has %d routes; at most %d are allowed", len(s.Routes), maxRoutes)
	}
	seen := make(map[string]bool, len(s.Routes))
	for i, route := range s.Routes {
		c.checkRoute(elementPath("routes", i), route, seen)
	}
}

func (c *checker) checkRoute(field string, route Route, seen map[string]bool) {
	if route.Method != "" && !methodPattern.MatchString(route.Method) {
		c.report(field+".method", "%q is not an HTTP method in upper case", route.Method)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		c.report(field+".path_prefix", "%q must begin with '/'", route.PathPrefix)
	}
	if len(route.PathPrefix) > maxPathBytes {
		c.report(field+".path_prefix", "must have at most %d bytes", maxPathBytes)
	}
	if len(route.Method) > maxNameBytes {
		c.report(field+".method", "must have at most %d bytes", maxNameBytes)
	}
	c.checkInt(field+".cost", int64(route.Cost), 1, MaxRouteCost)
	key := route.Method + " " + route.PathPrefix
	if seen[key] {
		c.report(field, "repeats the method and path prefix of an earlier route")
	}
	seen[key] = true
}

func (c *checker) checkModel(m *Model) {
	c.checkVersionOf("default_version", m.DefaultVersion, c.id.Name)
	c.checkInt("input_token_cost", int64(m.InputTokenCost), 0, MaxTokenCost)
	c.checkInt("output_token_cost", int64(m.OutputTokenCost), 1, MaxTokenCost)
	c.checkInt("timeout_seconds", int64(m.TimeoutSeconds), 1, MaxTimeoutSeconds)
}

func (c *checker) checkVersion(v *Version) {
	c.checkReference("model", KindModel, v.Model)
	if v.Weights == "" || len(v.Weights) > maxWeightsBytes {
		c.report("weights", "must have 1 to %d bytes", maxWeightsBytes)
	}
}

func (c *checker) checkBackendServer(b *BackendServer) {
	c.checkAddress("address", b.Address)
	c.checkReference("failure_domain", KindFailureDomain, b.FailureDomain)
	c.checkInt("slots", int64(b.Slots), 0, MaxSlots)
	c.checkState("state", b.State)
	switch b.Kind {
	case BackendModelEngine:
		c.checkModelEngine(b)
	case BackendService:
		c.checkServiceInstance(b)
	default:
		c.report("kind", "%q is neither %q nor %q", b.Kind, BackendModelEngine, BackendService)
	}
}

func (c *checker) checkModelEngine(b *BackendServer) {
	modelExists := c.checkReference("model", KindModel, b.Model)
	if modelExists && b.Version != "" {
		c.checkVersionOf("version", b.Version, b.Model)
	}
	if b.Service != "" {
		c.report("service", "is not allowed on a %s", b.Kind)
	}
}

func (c *checker) checkServiceInstance(b *BackendServer) {
	c.checkReference("service", KindService, b.Service)
	if b.Model != "" {
		c.report("model", "is not allowed on a %s", b.Kind)
	}
	if b.Version != "" {
		c.report("version", "is not allowed on a %s", b.Kind)
	}
}

func (c *checker) checkFailureDomain(d *FailureDomain) {
	if d.Region == "" {
		return
	}
	if message := nameError(d.Region); message != "" {
		c.report("region", "%s", message)
	}
}

// checkAddress reports an address that is invalid or is already the address of another backend server. Two backend
// servers at one address would get the sum of their in-flight limits.
func (c *checker) checkAddress(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.report(field, "%q is not an IP address with a port, such as 10.0.0.1:8000", address)
		return
	}
	canonical := netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
	owner, taken := c.addresses[canonical]
	if taken {
		c.report(field, "%s is already the address of %s", address, owner)
		return
	}
	c.addresses[canonical] = c.id.String()
}
