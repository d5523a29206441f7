// Package backends holds the registered backend servers as an immutable set that is replaced atomically.
package backends
