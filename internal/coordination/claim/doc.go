// Package claim keeps idempotency claims in the key-value service. A claim is created once per service, team and
// idempotency key and is never taken over. Only its holder runs the call; every router answers repeated requests with
// the recorded result.
package claim
