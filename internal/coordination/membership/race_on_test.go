//go:build race

package membership_test

// raceEnabled skips the tests with 400 members, which take minutes under the race detector; the failure detector runs
// in one goroutine.
const raceEnabled = true
