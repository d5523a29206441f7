// Package serverspeed estimates how fast the servers of a service work: the time per prompt token, the pause between two
// events as a function of the number of running requests, and the time per request of a plain service. It learns them from
// observed responses, normalised by the pace that the servers announce, and holds the current pace of each server.
//
// Announcements may be false, so trust in them is bounded. A pace below the usual one counts only down to minTrustedPace.
// Observations are divided by the pace that predictions are multiplied by, so that a constant false pace cancels out. An
// announced load below the load that the router itself has on the server is ignored.
//
// The package does no I/O and reads no clock.
package serverspeed
