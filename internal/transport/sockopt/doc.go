// Package sockopt closes TCP connections to peers that no longer respond, and keeps those to peers that are alive and read
// slowly.
//
// TCP_USER_TIMEOUT cannot tell the two apart: it also ends a connection whose peer acknowledges each probe of its closed
// window, and Linux adds up the times of all pauses of a connection. Where the system tells what the peer has
// acknowledged (TCP_INFO), the package therefore watches the connections with unacknowledged data itself; elsewhere it sets
// the option. How long a slow peer is waited for is decided by the users of the connection.
package sockopt
