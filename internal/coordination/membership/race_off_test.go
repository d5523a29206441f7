//go:build !race

package membership_test

const raceEnabled = false
