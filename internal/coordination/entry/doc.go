// Package entry chooses the router addresses that callers connect to.
package entry
