// Package daemon composes a router process: it reads and validates the settings, creates and connects the components,
// and runs the control loop and the graceful shutdown.
package daemon
