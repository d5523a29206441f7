// Package faults runs fault scenarios against real processes. It starts a small fleet, sends a seeded mixed load,
// injects the scenario's faults, and checks the guarantees to callers against the execution counts of the stand-ins.
package faults
