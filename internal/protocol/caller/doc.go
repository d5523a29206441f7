// Package caller parses callers' HTTP requests, states their limits, and encodes answers, server-sent events and
// outcomes.
package caller
