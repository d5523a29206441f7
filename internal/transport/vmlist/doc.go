// Package vmlist reads the platform's list of entry VMs. The list lags and may be wrong or empty; the client
// checks its form only.
package vmlist
