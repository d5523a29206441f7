// Package backend is the HTTP client to backend servers: calls to plain services, completions, event streams and
// orders of model engines. It says exactly what is known about a request that got no whole answer, and it never sends a
// request a second time on its own.
package backend
