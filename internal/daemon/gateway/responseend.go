package gateway

import (
	"context"

	"gooseberrytide.example/gooseberrytide/internal/state/backends"
)

// outlivedResponse reports whether a server has gone on after a response that ended with its connection, as far as that can
// be told. The end of a response is not proven to be that of its body if its server may have ended in the meantime,
// planned or not. It is called after probeServer has found no crash.
func (n *Node) outlivedResponse(_ context.Context, server *backends.Server) bool {
	return !n.hasStartedAgain(server)
}

// hasStartedAgain reports whether the entry of a server names a later start. An older start time is that of a late write.
func (n *Node) hasStartedAgain(server *backends.Server) bool {
	current := n.servers.Load().Get(server.ID)
	return current != nil && server.StartedAt != 0 && current.StartedAt > server.StartedAt
}
