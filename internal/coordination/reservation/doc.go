// Package reservation lets many routers fill the same backend servers without overloading them. Reported loads are as
// old as the report period, which grows with the fleet, and routers that choose by them all send to the same server at
// once. Each server therefore has one owner among the routers: the other routers report their load on the server to the
// owner as it changes, and reserve capacity with it before they send a request. The owner's answer is exact. It costs
// one round trip between two routers and two messages per request, however large the fleet is, whereas the cost of
// reporting all loads to all routers grows with the square of the fleet's size.
//
// Owners are chosen by rendezvous hashing from the routers that are known to be live. Two routers may briefly choose
// different owners, and a new owner does not know all loads at first. A reservation that is granted wrongly costs only
// a wait at the server. A router that gets no answer decides by its own knowledge, so that a lost owner blocks no
// requests.
//
// A server that has named a limit of requests a second gets a request only with a permit of its owner, which package
// ratelimit grants. A permit that is granted wrongly exceeds the limit, so a router without an answer does not send.
//
// The loads in messages are absolute, so that the next message corrects the effect of lost, repeated and reordered
// ones.
package reservation
