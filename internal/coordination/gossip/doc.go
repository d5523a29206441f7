// Package gossip defines the state reports that routers send each other: whether the sender takes clients, the load
// that it puts on the backend servers, and the service that it gives to teams. A report replaces the sender's previous
// one, so that a lost datagram only delays an update. Reports that arrive out of order or come from an earlier
// incarnation of the sender are ignored.
//
// Reports are sent to the routers that take requests in each period. The period grows with the number of routers that
// take requests, so that the cost of reports per router stays the same.
//
// The other routers only need to know who is live. In a small fleet they get reports as well, less often. Above
// RelayedFleet routers, each router announces itself once to each other one and from then on only reports to the routers
// that take requests and to a few relays. The relays send lists of the live routers to all. A list names a router by a
// short key of what it announced, so that a router whose state has changed counts as live only after its next
// announcement. The number of messages grows with the fleet, not with its square.
package gossip
