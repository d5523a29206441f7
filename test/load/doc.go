// Package load sends requests to a fleet as callers do: it asks for entry addresses, caches them for their lifetime,
// and records outcomes, waiting times and the service that each team received.
package load
