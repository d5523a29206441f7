// Package publish writes configurations to the key-value service and brings them to every router.
//
// The head key names the generation in force and its chunks; a publish writes the chunks and then swaps the head.
// A chunk's key is the hash of its content, so chunks never change. Three rules keep a head from naming a missing
// chunk:
//   - A publisher uses a chunk that its head does not name only when the chunk's revision is above the head's;
//     otherwise it writes the chunk again, which raises the revision.
//   - A collector lists chunks, then rewrites the head unchanged, and then deletes the chunks that the head does not
//     name, each with the revision from the list.
//   - Any publisher that read the head before the rewrite fails its swap and starts again.
//
// Some routers watch the head; the others learn of a new generation from heartbeats and pull the changed objects
// from the router that announced it.
package publish
