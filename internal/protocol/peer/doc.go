// Package peer encodes the messages between routers.
//
// Frequent messages travel in frames: CBOR with integer keys. An Encoder and its Decoder belong to one direction of one
// connection, whose two ends are known from the handshake. To keep messages small, the wire leaves out the sender's name
// and incarnation, the router and incarnation of requests that the kind of message implies, and names of pools, teams,
// backend servers and members after their first use (both ends keep the same ring of recent names); sequence numbers are
// differences. Frames must therefore be decoded in the order in which they were encoded, without gaps. Rare messages are
// JSON-RPC calls; their names and types are here too.
package peer
