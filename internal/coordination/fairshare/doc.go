// Package fairshare keeps the service that each team has received from the whole fleet lately. Service fades with a time
// constant, so that a team's past counts for a few seconds and idle time earns no credit. The team with the least
// faded service goes first, which gives every backlogged team the same share of the capacity and leaves what small teams
// do not ask for to the others.
//
// Each router counts its own grants and tells the others its sums. Between two reports a sum of a peer goes on fading,
// so that a peer that is lost is forgotten as its service would be.
package fairshare
