// Package ownership assigns shards to live members by rendezvous hashing with a bounded load. Every router computes the
// same assignment from the same view, without messages.
package ownership
