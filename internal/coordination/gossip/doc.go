// Package gossip defines the state reports that routers send each other: whether the sender takes clients, the load
// that it puts on the backend servers, and the service that it gives to teams. A report replaces the sender's previous
// one, so that a lost datagram only delays an update. Reports that arrive out of order or come from an earlier
// incarnation of the sender are ignored.
//
// Reports are sent to the routers that take requests in each period, and to all others less often. The period grows
// with the number of routers that take requests, so that the cost of reports per router stays the same.
package gossip
