// Package admin defines the requests and responses of the operator's HTTP endpoints, and the interface that implements
// them.
package admin
