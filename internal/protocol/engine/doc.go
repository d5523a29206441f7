// Package engine is the HTTP protocol of model engines, as far as routers use it: completions streamed as server-sent
// events, cancellation, the stream of load reports and cache events, and orders. It holds the message types, decoders
// with limits and typed errors, and the hashes that name prompt prefixes in an engine's cache.
package engine
