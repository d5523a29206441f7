// Package admission schedules the requests of one router: it decides which request runs next, on which backend server,
// and which request is refused. Core does no I/O and reads no clock; Controller adds locking and the current time.
//
// Requests are queued in the router, not in the engines: engines admit in order of arrival and know no teams, and the
// prefill of one prompt delays the tokens of all requests that run on the engine. An engine is therefore sent a request
// only while its prefill backlog, from all routers, is below a bound. Queued requests are ordered by team: the team
// that has received the least service in the fleet goes first.
//
// Placement weighs the wait at an engine against the prompt tokens that it would have to prefill again. For a prompt
// whose shared parts no engine has cached yet, rendezvous hashing selects the same engine on all routers.
//
// A request that cannot get its first event in time is refused at once with a retry time, so that requests that can
// still be served in time use the queue.
package admission
