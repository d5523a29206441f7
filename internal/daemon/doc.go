// Package daemon composes a router process: it checks the settings, connects the packages, and runs start-up, the
// control loop and the graceful shutdown.
package daemon
