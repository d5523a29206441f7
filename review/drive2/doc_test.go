//go:build review

// Package drive2 is the driver of the scripts of the second review. review/build-2.sh builds it as a program with
// go test -c. The environment variable DRIVE2 selects what the program does: a case, or the stand-in of one backend server.
package drive2

import (
	"fmt"
	"os"
	"testing"
)

// cases are the cases by the name of their folder. Each reports whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){}

// Exit statuses of a case.
const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

func TestMain(_ *testing.M) {
	name := os.Getenv("DRIVE2")
	if name == "engine" {
		os.Exit(runEngine(os.Args[1:]))
	}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "DRIVE2 is %q, which is no case\n", name)
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(c))
}
