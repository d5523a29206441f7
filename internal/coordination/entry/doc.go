// Package entry chooses the entry addresses that callers connect to.
package entry
