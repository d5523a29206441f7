// Package snapshot indexes a validated configuration for the request path. A snapshot never changes after it is
// built, and a holder replaces the whole snapshot through an atomic pointer, so readers take no locks.
package snapshot
