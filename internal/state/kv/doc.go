// Package kv defines the narrow interfaces to the platform's key-value store and in-memory fakes that inject faults.
package kv
