// Package fencing makes fencing numbers from the store's revisions. The numbers keep rising after the store was
// restored from an older copy, although the store then assigns the same revisions again.
//
// The store holds an epoch and the ID of the cluster (the identity of the store's data) that the epoch belongs to. A
// restore changes the cluster. A router that sees another cluster raises the epoch above the one in the store and above
// the one that it remembers. A fencing number has the epoch in its upper bits and the revision in its lower ones. It is
// only made if the store answered as the same cluster before and after the write, so that no number has the revision of
// one cluster and the epoch of another.
package fencing
