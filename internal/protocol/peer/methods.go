package peer

// Names of the JSON-RPC methods between routers. Packages that serve a method define its parameters where the layers
// demand it; the types below belong to methods of the links themselves.
const (
	// MethodConfigPull fetches a configuration from a peer.
	MethodConfigPull = "config.pull"
	// MethodStatus returns a router's status.
	MethodStatus = "status"
	// MethodTimeline returns events of a router's event ring.
	MethodTimeline = "timeline"
	// MethodHandover passes the state of a shard on.
	MethodHandover = "handover"
	// MethodForward passes a rare call on to another router.
	MethodForward = "forward"
	// MethodEcho returns its parameters. Every router serves it.
	MethodEcho = "link.echo"
)

// EchoParams are the parameters of MethodEcho.
type EchoParams struct {
	Text string `json:"text"`
}

// EchoResult is the result of MethodEcho.
type EchoResult struct {
	Text string `json:"text"`
	// Router and Incarnation name the process that answered.
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
}
