package sockopt

// End tells how a connection has ended.
type End uint8

const (
	// EndUnknown means that the system does not tell.
	EndUnknown End = iota
	// EndOrderly means that the peer has closed its sending side, and that all it sent before has been received.
	EndOrderly
	// EndBroken means that the connection was reset, or that the peer stopped responding.
	EndBroken
)

var endNames = [...]string{EndUnknown: "unknown", EndOrderly: "orderly", EndBroken: "broken"}

// String returns the name for logs.
func (e End) String() string { return endNames[e] }
