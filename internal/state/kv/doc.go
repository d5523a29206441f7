// Package kv defines narrow interfaces to the key-value service, called the store, and in-memory fakes that inject
// faults.
package kv
