// Package gateway forwards clients' requests to backend servers unchanged and returns the responses.
//
// A request is read completely before it is forwarded, so that it can be sent to another server if the first one did
// not run it. A response is forwarded only after the gateway has checked that it belongs to the request, carries the
// server's signature and is complete. Streams are forwarded event by event; a broken stream is resumed at another
// server if the route allows it.
//
// Status 503 is used only for a request that has not run and will not run. If a request may have run, the status is 502
// or 504.
package gateway
