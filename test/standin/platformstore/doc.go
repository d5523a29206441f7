// Package platformstore is a stand-in of the platform's store: keys with revisions, long polls for changes, transactions
// under conditions, and leases. It can be down, forget its history and lose the answers of writes.
package platformstore
