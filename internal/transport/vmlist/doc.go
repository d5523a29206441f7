// Package vmlist reads the platform's list of entry VMs. The list may be outdated, wrong or empty; the client only
// checks that it is well-formed.
package vmlist
