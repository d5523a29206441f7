// Package admin defines the requests and answers of the operator's HTTP endpoints, and the interface that answers
// them.
package admin
