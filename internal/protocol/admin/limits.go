package admin

// PathLimits serves the limits of requests a second that backend servers name, and the warm-ups of cold servers, at the
// metrics address of a router on the users' platform. GET lists them.
const PathLimits = "/limits"

// Limit is the limit of a backend server as one router knows it.
type Limit struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// PerSecond is the limit that the server names, InForce the rate that the routers keep to, in requests per second.
	PerSecond float64 `json:"per_second"`
	InForce   float64 `json:"in_force"`
	// AgeMS is the time since the server first named a limit, ConfirmedMS the time since this router last heard it, in
	// milliseconds.
	AgeMS       int64 `json:"age_ms"`
	ConfirmedMS int64 `json:"confirmed_ms"`
	// Owner is the router that grants the permits for the server, or empty if none is known.
	Owner string `json:"owner"`
	// Used is the recent rate of permits, in requests per second. Only the owner knows it.
	Used *float64 `json:"used,omitempty"`
	// Warmup is set if the server is cold. Unnamed is set if it names no limit, so that only the warm-up holds it back.
	Warmup  *Warmup `json:"warmup,omitempty"`
	Unnamed bool    `json:"unnamed,omitempty"`
}

// Warmup is the warm-up of a cold backend server.
type Warmup struct {
	// Source is entry, response, evacuation-end or return.
	Source string `json:"source"`
	// LeftMS is the time until its end, in milliseconds.
	LeftMS int64 `json:"left_ms"`
}
