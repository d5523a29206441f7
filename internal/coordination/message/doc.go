// Package message defines the typed messages between ingress routers and dispatchers, and between dispatchers.
// Times are durations relative to the receipt of the message, so that clock skew between routers has no effect.
package message
