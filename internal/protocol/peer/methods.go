package peer

// Names of the JSON-RPC methods between routers. The types below are the parameters and results of methods that the
// link itself serves. Packages that serve another method define its types if the layering requires it.
const (
	// MethodConfigPull fetches a configuration from a peer.
	MethodConfigPull = "config.pull"
	// MethodStatus returns a router's status.
	MethodStatus = "status"
	// MethodTimeline returns events from a router's event buffer.
	MethodTimeline = "timeline"
	// MethodHandover transfers the state of a shard to another router.
	MethodHandover = "handover"
	// MethodForward forwards an infrequent call to another router.
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
	// Router and Incarnation identify the process that answered.
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
}
