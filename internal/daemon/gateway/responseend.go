package gateway

import (
	"context"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/coordination/poison"
	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// leavingProbeTimeout bounds the time to find out whether a server whose end is expected has ended.
const leavingProbeTimeout = 150 * time.Millisecond

// outlivedResponse reports whether a server has gone on after a response that ended with its connection, as far as that can
// be told. The end of a response is not proven to be that of its body if its server may have ended in the meantime,
// planned or not. It is called after probeServer has found no crash.
func (n *Node) outlivedResponse(ctx context.Context, server *backends.Server) bool {
	if n.endIsExpected(server) && !n.stillServes(ctx, server) {
		return false
	}
	return !n.hasStartedAgain(server)
}

// stillServes reports whether a server whose end is expected goes on. A server that drains serves new connections until it
// ends.
func (n *Node) stillServes(ctx context.Context, server *backends.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, leavingProbeTimeout)
	defer cancel()
	return n.probePort(ctx, server) == poison.ServerAlive
}

// hasStartedAgain reports whether the entry of a server names a later start. An older start time is that of a late write.
func (n *Node) hasStartedAgain(server *backends.Server) bool {
	current := n.servers.Load().Get(server.ID)
	return current != nil && server.StartedAt != 0 && current.StartedAt > server.StartedAt
}
