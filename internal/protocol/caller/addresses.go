package caller

import "net/url"

// AddressQuery asks for entry addresses.
type AddressQuery struct {
	Team string
	// Model or Service names the pool. At most one is set.
	Model   string
	Service string
	// Domain names the caller's failure domain, or is empty.
	Domain string
	// Caller is the caller's IP address. The callers of a team spread over the dispatchers of a pool by it.
	Caller string
}

// AddressAnswer lists entry addresses, best first.
type AddressAnswer struct {
	Addresses []Address `json:"addresses"`
	// LifetimeMS is how long the answer may be cached, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Address is the address of a router.
type Address struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	// Domain names the router's failure domain.
	Domain string `json:"failure_domain,omitempty"`
}

// ParseAddressQuery parses the query of GET /v1/addresses. Errors: *Error.
func ParseAddressQuery(values url.Values) (*AddressQuery, error) {
	q := &AddressQuery{}
	fields := []struct {
		name  string
		value *string
	}{
		{"team", &q.Team},
		{"model", &q.Model},
		{"service", &q.Service},
		{"failure_domain", &q.Domain},
	}
	for _, f := range fields {
		*f.value = values.Get(f.name)
		if len(*f.value) > MaxNameBytes {
			return nil, invalid(f.name, "longer than %d bytes", MaxNameBytes)
		}
	}
	if q.Model != "" && q.Service != "" {
		return nil, invalid("service", "not allowed together with model")
	}
	return q, nil
}
