// Package service is a stand-in for a plain service. It counts executions by idempotency key and by request ID. It can
// deduplicate calls, check fencing numbers, and fail in the ways that real services do. Paths below /admin/ return the
// counts and inject faults.
package service
