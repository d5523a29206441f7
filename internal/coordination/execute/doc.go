// Package execute runs a caller's request: it claims the idempotency key, waits for a grant, sends the request to
// the backend server, retries or resumes where that is safe, and decides the outcome.
package execute
