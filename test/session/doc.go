// Package session holds golden files of whole sessions: the messages between routers, calls to backend servers and the
// store, and time line events of some routers in one process, on synthetic time. `go test ./test/session -update` writes
// them anew.
package session
