// Package faults runs scenarios of faults against real processes: it starts a small fleet, drives a seeded mixed load,
// injects the scenario's faults, and checks the promises from the execution counts of the stand-ins.
package faults
