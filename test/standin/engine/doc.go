// Package engine is a stand-in for a model engine: continuous batching over slots with a waiting list, a bounded prefix
// cache that shortens prefill, deterministic tokens, resume, cancellation, lagging load reports, late and gappy cache
// events, and orders with or without fencing. Paths below /admin/ give counts and inject faults.
package engine
