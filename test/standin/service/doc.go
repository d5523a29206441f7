// Package service is a stand-in for a plain service. It counts executions by idempotency key and by request id, and may
// deduplicate calls, check fencing numbers, or fail in the ways that real services do. Paths below /admin/ give the
// counts and inject faults.
package service
