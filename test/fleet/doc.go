// Package fleet starts stand-ins and routers as separate processes on loopback, for the demo, the measurement and the
// fault tests. Every process listens on a port assigned by the system and reports it on its first line of output.
package fleet
