// Package backend is the HTTP client for backend servers. It sends calls to plain services, and completions, orders and
// event stream subscriptions to model engines. Its errors state what is known about a request that got no complete
// response, and it never sends a request a second time by itself.
package backend
