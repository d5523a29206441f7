// Package callerhttp is the HTTP server for callers. It serves completions, calls to plain services, queries for entry
// addresses, and health and readiness checks.
package callerhttp
