// Package dispatch implements the two sides of request dispatch. The ingress side tracks each request of its callers
// from the time it is queued until its attempt is settled. The dispatcher side runs a scheduler for each shard that the
// router owns.
package dispatch
