//go:build race

package membership_test

// raceEnabled leaves out the fleets of 400, which take minutes with the race detector; the detector has one goroutine.
const raceEnabled = true
