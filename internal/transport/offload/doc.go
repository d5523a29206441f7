// Package offload passes new connections of clients on to other routers, or refuses their requests at a low cost, while
// a router lacks processor time.
//
// While the policy is active, the header of a connection's first request is read before the HTTP server sees the
// connection. Depending on the policy's decision the connection is served by this router, forwarded byte by byte to
// another router, or refused. A forwarded connection carries one request, because the other router closes it after the
// response; so a router that drains only has to wait for the responses in progress. If the other router cannot be
// reached, nothing has been sent and the request is refused. A request is sent to one router only, and to none if its
// client has left or its time has passed. The other router is told how much of that time is left.
//
// If even refusals take more time than there is, the port is closed for a short while: the system then refuses
// connections, so that clients learn at once what they would otherwise learn at their deadlines.
//
// If one side closes a forwarded connection, the other side is closed as well, so that the other router learns that a
// client has left. Forwarding costs two connections and the copies of the bytes, less than reading and refusing a
// request with the HTTP server.
package offload
