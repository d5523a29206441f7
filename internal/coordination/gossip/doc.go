// Package gossip tells the other routers what one router does: whether it takes clients, the load that it puts on the
// backend servers, and the service that it gives to teams. A report replaces the former one of its sender, so that a
// lost datagram only delays the news. Reports that are late or from an earlier start of the sender are ignored.
//
// Reports are sent each period while something changes and less often otherwise. The period grows with the number of
// routers, so that the cost of reports for one router stays the same up to some tens of routers and grows with the
// number only, not with its square.
package gossip
