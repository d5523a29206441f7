// Package dispatch runs the two sides of request dispatch. The ingress side keeps a caller's request until it is
// granted, sent and settled. The dispatcher side owns a scheduler for each shard that the router is responsible for.
package dispatch
