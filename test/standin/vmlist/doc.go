// Package vmlist is a stand-in for the platform's list of entry VMs. A new list becomes visible to callers after a
// configurable lag.
package vmlist
