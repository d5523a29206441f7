// Package reservation lets many routers fill the same backend servers without overfilling them. The loads that routers
// report of each other are as old as the period of reports, which grows with the fleet; routers that choose by them send
// to the same server at once. So each server has one owner among the routers: the others tell it the load that they
// put on the server as it changes, and ask it for a place before they send. The owner's answer is exact, costs one
// round trip between two routers, and takes two messages for each request however large the fleet is, where reports of
// all loads to all routers grow with the square of its size.
//
// Owners are chosen by rendezvous hashing from the routers that are known to be live. Two routers may name different
// owners for a moment, and a new owner does not know all loads at first: a place that is granted wrongly costs a wait
// at the server and nothing else. A router without an answer goes by what it knows itself, so that a lost owner holds
// nothing up.
//
// The loads in messages are absolute, so that lost, repeated and reordered messages are healed by the next one.
package reservation
