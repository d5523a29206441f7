// Package execute runs callers' requests. It claims the idempotency key of a non-idempotent call, waits for a grant,
// sends the request to the granted backend server, retries or resumes it where that is safe, and determines the
// outcome.
package execute
