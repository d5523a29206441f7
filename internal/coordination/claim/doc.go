// Package claim keeps idempotency claims in the key-value service. A claim is created once per team and key and is
// never taken over; only its holder runs the call, and its recorded result answers repeats at any router.
package claim
