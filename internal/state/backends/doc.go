// Package backends holds the backend servers that registered themselves, as an immutable set that is swapped whole.
package backends
