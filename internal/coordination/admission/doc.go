// Package admission decides, for the requests of one router, which runs next, on which backend server, and which is
// refused. It does no input or output and reads no clock.
//
// Requests wait in the router, not in the engines: engines admit in order of arrival and know no teams, and a prompt
// that an engine reads delays the tokens of all requests that run there. An engine therefore gets a request only while
// the prompt tokens that it still has to read, from all routers, are below a bound. What waits is ordered by teams:
// the team with the least service in the fleet goes first.
//
// Placement weighs the wait at an engine against the prompt tokens that it would have to read again. Where no router
// has seen a prompt's parts yet, rendezvous hashing names the same engine on all routers.
//
// A request that cannot have its first event in time is refused at once, with a time to return, while others that can
// wait in its place.
package admission
