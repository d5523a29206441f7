// Package kvstore is a stand-in for the platform's key-value service. It implements the part of the etcd v3 JSON
// gateway API that the fleet uses (range, txn with comparisons of mod_revision, leases, watch), limits the rates of
// writes and reads, counts calls, and injects faults through an admin endpoint.
package kvstore
