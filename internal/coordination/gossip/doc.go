// Package gossip tells the other routers what one router does: whether it takes clients, the load that it puts on the
// backend servers, and the service that it gives to teams. A report replaces the former one of its sender, so that a
// lost datagram only delays the news. Reports that are late or from an earlier start of the sender are ignored.
//
// Reports go to the routers that take requests each period, and to all others less often. The period grows with the
// number of routers that take requests, so that the cost of reports for one of them stays the same.
package gossip
