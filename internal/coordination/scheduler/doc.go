// Package scheduler is the decision core of a dispatch shard: the fair queue over teams, the in-flight limits of
// backend servers, the choice of backend server, and the service accounts of teams. It does no I/O and reads no clock:
// typed events go in with the current time, and decisions come out. Equal events give equal decisions.
//
// An operation takes O(log teams + log queue + backend servers) steps. Teams whose queues hold nothing but requests that
// exclude every available backend server are parked by what they may use, and add a step per such class. FreeSlots,
// SetBackends, RouterGone and Stats take longer; they are rare.
//
// # Bound of the gap
//
// Let c be the virtual counters, w the lowest weight, Cmax the largest estimate or cost of a request, F the number of
// requests in flight, and E the largest difference between the estimate and the final cost of a request, early or late in
// its run. When team f is granted a request, c[f] <= c[g] for each backlogged team g. Until f's next grant, c[f] rises by
// the estimate and by what its requests in flight were underestimated; c[g] falls at most by what its requests in flight
// were overestimated, and never below a level to which it was lifted. Both together are F requests, so that
//
//	c[f] - c[g] <= (Cmax + F*E) / w
//
// at any time, and the charged service of two teams backlogged over an interval differs by at most 2*(Cmax + F*E)/w.
// Service delivered so far differs from the charged one by the unfinished part of the requests in flight, which adds
// 2*F*Cmax/w. With S shards, F counts the requests of the pool, and each shard lacks up to a quantum Q per sibling and
// team: 2*(Cmax + F*E + 2*(S-1)*Q)/w. A change of dispatcher adds at most (Cmax + F*E)/w.
package scheduler
