// Package gateway takes clients' requests, passes them on to backend servers unchanged, and returns the answers.
//
// A request is read whole before it is passed on, so that it can be sent to another server when the first one did not
// run it. Its answer goes out only after it was checked: it belongs to the request, bears the server's signature, and is
// whole. Streams go out event by event; one that breaks is resumed at another server where the route allows it.
//
// Status 503 is used only for a request that did not run and will not. Where a request may have run, the answer is 502
// or 504.
package gateway
