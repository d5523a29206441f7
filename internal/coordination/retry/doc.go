// Package retry limits retries: a budget for each team and pool, and waiting times with exponential backoff and jitter.
// A budget follows the requests of its own team, so that a team whose calls fail cannot multiply the load of others.
package retry
