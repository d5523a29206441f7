// Package peer encodes the messages between routers.
//
// Frequent messages travel in frames: CBOR with integer keys. An Encoder and its Decoder belong to one direction of one
// connection, whose two ends are known from the handshake. Three things are left out on the wire to keep messages small:
// the sender's name and incarnation, request references of the end that owns the request, and names of pools, teams,
// backend servers and members after their first use (both ends keep the same ring of recent names). Rare messages are
// JSON-RPC calls; their names and types are here too.
package peer
