// Package load sends seeded requests to a fleet as callers would: it asks for entry addresses, keeps them for their
// lifetime, checks that each answer is whole and its own, and records outcomes, waiting times and service by team.
package load
