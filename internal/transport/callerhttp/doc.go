// Package callerhttp is the HTTP server for callers: completions, calls of plain services, entry addresses and health.
package callerhttp
