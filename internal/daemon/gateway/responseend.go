package gateway

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
	"gooseberrytide.example/gooseberrytide/internal/transport/upstream"
)

const (
	// responseProbeTimeout bounds the time to find out whether a server goes on after its response.
	responseProbeTimeout = 150 * time.Millisecond
	// responseProbes is the number of attempts. The time of one may pass while this process does not run.
	responseProbes = 3
)

// outlivedResponse reports whether a server has gone on after a response that ended with its connection, as far as that can
// be told. The end of a response is not proven to be that of its body if its server may have ended in the meantime,
// planned or not: the silence of its port proves nothing. It is called after probeServer has found no crash.
func (n *Node) outlivedResponse(ctx context.Context, server *backends.Server) bool {
	state := upstream.PortUnknown
	for i := 0; i < responseProbes && state == upstream.PortUnknown; i++ {
		state = n.probeAfterResponse(ctx, server)
	}
	switch state {
	case upstream.PortServing:
	case upstream.PortClosing:
		// The server may have too many connections. One that drains serves new connections until it ends.
		if n.endIsExpected(server) {
			return false
		}
	default:
		return false
	}
	return !n.hasStartedAgain(server)
}

// probeAfterResponse returns the state of a server's port. The end of the request does not end the probe.
func (n *Node) probeAfterResponse(ctx context.Context, server *backends.Server) upstream.PortState {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseProbeTimeout)
	defer cancel()
	return n.pool.Probe(ctx, server.Key(), server.Address)
}

// hasStartedAgain reports whether the entry of a server names a later start. An older start time is that of a late write.
func (n *Node) hasStartedAgain(server *backends.Server) bool {
	current := n.servers.Load().Get(server.ID)
	return current != nil && server.StartedAt != 0 && current.StartedAt > server.StartedAt
}
