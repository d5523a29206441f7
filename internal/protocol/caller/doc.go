// Package caller parses callers' HTTP requests, defines their limits, and encodes responses, server-sent events and
// outcomes.
package caller
