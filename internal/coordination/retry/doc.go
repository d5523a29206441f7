// Package retry limits retries with retry budgets and with delays that have exponential backoff and jitter. Each team
// has a budget of its own in each pool, proportional to its own requests, so a team whose requests fail cannot use up
// the retries of other teams or multiply the load on the pool.
package retry
