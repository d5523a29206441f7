// Package engineload tracks the load that all routers put on each backend server. A router knows its own load exactly
// and the loads of other routers from their reports, which are some tens of milliseconds old.
//
// Two components of the load of a model engine affect a new request: the prompt tokens that are still to be prefilled,
// which delay its first event, and the running requests, which slow all streams.
package engineload
