package caller

import "net/url"

// AddressQuery is a query for the addresses of routers that a caller can send its requests to.
type AddressQuery struct {
	Team string
	// Model or Service selects the pool. At most one is set.
	Model   string
	Service string
	// Domain is the caller's failure domain, or empty if unknown.
	Domain string
	// Caller is the caller's IP address. It spreads the callers of a team over the dispatchers of a pool.
	Caller string
}

// AddressAnswer lists the addresses of routers, best first.
type AddressAnswer struct {
	Addresses []Address `json:"addresses"`
	// LifetimeMS is the time for which the answer may be cached, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Address is the address of a router, with its failure domain.
type Address struct {
	// Address is an IP address and port.
	Address string `json:"address"`
	// Domain is the router's failure domain.
	Domain string `json:"failure_domain,omitempty"`
}

// ParseAddressQuery parses the query of GET /v1/addresses. It leaves Caller empty. Errors are of type *Error.
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
