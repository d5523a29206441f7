// Package fencing makes fencing numbers from the store's revisions that keep rising after the store came back from an
// older copy, although its revisions are then given out again.
//
// The store keeps an epoch with the cluster that it belongs to. A router that sees another cluster raises the epoch above
// the one in the store and above the one that it remembers. A fencing number has the epoch in its upper bits and the
// revision in its lower ones. It is only made if the store answered as the same cluster before and after the write, so
// that no number has the revision of one cluster and the epoch of another.
package fencing
