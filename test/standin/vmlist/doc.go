// Package vmlist is a stand-in for the platform's list of entry VMs. The list that callers see follows the one
// that was set after a lag.
package vmlist
