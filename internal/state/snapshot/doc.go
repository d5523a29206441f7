// Package snapshot indexes a checked configuration for the request path. A snapshot never changes after it is
// built, and a holder swaps whole snapshots with an atomic pointer, so readers take no locks.
package snapshot
