// Package peer encodes the messages between routers.
//
// Frequent messages are sent in frames, encoded as CBOR with integer keys. An Encoder and its Decoder belong to one
// direction of a connection, whose two endpoints are known from the handshake. To keep messages small, the encoding
// omits the sender's name and incarnation, and the router and incarnation of a request if the type of the message
// implies them. Names of pools, teams, backend servers and members are replaced by an index after their first use: both
// endpoints keep the same ring of recent names. Sequence numbers are sent as differences. Frames must therefore be
// decoded in the order in which they were encoded, without gaps.
//
// Infrequent messages are JSON-RPC calls. The package also defines the names of their methods and some of their types.
package peer
