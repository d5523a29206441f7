// Package session compares whole sessions with golden files: the messages between three routers in one process, their
// calls to backend servers and to the store, and their timeline events, on synthetic time.
// `go test ./test/session -update` rewrites the golden files.
package session
