// Package engine is a stand-in for a model engine. It simulates continuous batching over slots with a FIFO queue, a
// bounded prefix cache that shortens prefill, deterministic tokens, resume, cancellation, delayed load reports, delayed
// and lost cache events, and orders with or without fencing. Paths below /admin/ return counts and inject faults.
package engine
