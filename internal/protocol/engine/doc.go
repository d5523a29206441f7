// Package engine defines the part of the HTTP protocol of model engines that routers use: completions streamed as
// server-sent events, cancellation, the stream of load reports and cache updates, and orders. It contains the message
// types, decoders with size limits and typed errors, and the hashes that identify prompt prefixes in an engine's cache.
package engine
