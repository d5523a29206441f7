// Package platformstore is a stand-in for the platform's store: keys with revisions, long polls for changes,
// conditional transactions, and leases. It can simulate an outage, discard its history and lose the responses of
// writes.
package platformstore
