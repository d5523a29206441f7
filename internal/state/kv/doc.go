// Package kv defines the narrow interface to the platform's key-value service and an in-memory fake that
// injects faults.
package kv
