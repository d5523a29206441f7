// Package scheduler is the decision core of a dispatch shard: the fair queue over teams, the in-flight limits of
// backend servers, the choice of backend server, and the service accounts of teams. It does no I/O and reads no clock:
// typed events go in with the current time, and decisions come out.
package scheduler
