// Package ratelimit distributes the rate of requests that a backend server takes over the routers (distributed rate
// limiting).
//
// One router, the owner, grants permits for a server: one permit for one request. It uses the generic cell rate algorithm
// (GCRA): a permit is granted if the theoretical time of the next one is at most Tolerance ahead, and moves that time by
// one interval. Over any time t at most rate*(t+Tolerance)+1 permits are granted. The Tolerance makes up for the time
// that it takes a permit to be asked for, so that the rate is used in full.
//
// Limits are a few requests a second, and there may be hundreds of routers. A share of the rate for each router, leased
// for seconds, would be below one request for most of them and unused at those without requests. So permits are asked for
// one by one, when a request is there. A router that is denied a permit is told when to ask again. The owner gives
// each router a later time, one interval apart, up to MaxRetry: routers that all asked for the next permit would send as
// many messages for one permit as there are routers.
//
// A request yields if its team has received more than its fair share while a starved team waits. Routers that yield are given
// turns of their own, and while a router that does not yield waits for its turn, they get a permit only after it has been
// free for a part of Tolerance. The rest of Tolerance is left for them to take it, so that it is not lost.
//
// Permits that may exceed the rate are never granted, so that it holds in these cases, at the cost of permits that are
// not granted:
//
//   - A new owner does not know what the earlier one has granted. It starts with an empty allowance: its first permit
//     follows one interval later. Two owners that overlap for a time t grant up to rate*t more.
//   - An owner that does not hear from some routers may not be the only one. It grants its share of the rate, which is the
//     fraction of the routers that it hears from (SetShare). The shares of the parts of a divided fleet add up to 1.
//   - A permit that is not used within Lifetime lapses, on a clock that includes suspension. The holder must ask again.
//
// Permits that their holders know to be unused are given back with Return.
package ratelimit
