// Package publish writes configurations to the key-value service and distributes them to all routers.
//
// The head key holds the generation in force and the hashes of its chunks; a publish writes the chunks and then
// replaces the head by compare-and-swap. A chunk's key is the hash of its content, so chunks never change. Three rules
// prevent a head that references a missing chunk:
//   - A publisher reuses a chunk that the head it read does not reference only if the chunk's revision is above the
//     head's; otherwise it writes the chunk again, which raises the revision.
//   - The garbage collector lists the chunks, then rewrites the head with the same versions, and then deletes the
//     chunks that the head does not reference, each only at its listed revision.
//   - A publisher that read the head before the rewrite fails its compare-and-swap and starts again.
//
// Some routers watch the head; the others learn of a new generation from heartbeats and pull the changed objects
// from the router that announced it.
package publish
