// Package fairshare accounts for the service that each team has recently received from the whole fleet. Service decays
// exponentially, so that past service counts for a few seconds and an idle team gains no credit. The team with the
// least decayed service is served first. This gives every backlogged team the same share of the capacity and leaves the
// capacity that small teams do not request to the others.
//
// Each router counts its own grants and reports its sums to the others. Sums of a peer decay between its reports, so
// that the service counted by a lost peer decays as well.
package fairshare
