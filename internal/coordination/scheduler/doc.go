// Package scheduler implements the scheduling state machine of a dispatch shard: the fair queue over teams, the
// in-flight limits of backend servers, the choice of backend server, and the accounting of the service that each team
// received. It does no I/O and reads no clock: each event is passed in with the current time, and the resulting
// decisions are returned. The same sequence of events always gives the same decisions.
//
// An operation takes O(log teams + log queue + backend servers) steps. A team whose queued requests all exclude every
// available backend server is parked. Parked teams are grouped by the backend servers that they may use, and each group
// adds one step. FreeSlots, SetBackends, RouterGone and Stats take longer; they are rare.
//
// # Bound of the gap
//
// Let c be the virtual counters, w the lowest weight, Cmax the largest estimate or cost of a request, F the number of
// requests in flight, and E the largest difference between the estimate and the final cost of a request, whenever in
// its run the difference shows. When team f is granted a request, c[f] <= c[g] for each backlogged team g. Until f's
// next grant, c[f] rises by the estimate and by the amount by which its requests in flight were underestimated. c[g]
// falls at most by the amount by which its requests in flight were overestimated, and never below a level to which it
// was lifted. Together these are F requests, so that
//
//	c[f] - c[g] <= (Cmax + F*E) / w
//
// at any time, and the charged service of two teams backlogged over an interval differs by at most 2*(Cmax + F*E)/w.
// Service delivered so far differs from charged service by the unfinished part of the requests in flight, which adds
// 2*F*Cmax/w. With S shards, F counts the requests of the whole pool, and each shard may not yet know of up to a
// quantum Q of service per sibling and team: 2*(Cmax + F*E + 2*(S-1)*Q)/w. A change of dispatcher adds at most
// (Cmax + F*E)/w.
package scheduler
