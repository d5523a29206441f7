// Package fleet starts stand-ins and routers as separate processes on loopback, for the demo, the measurement, and the
// tests of faults. Every process listens on a port that the system hands out and reports it on its first line of output.
package fleet
