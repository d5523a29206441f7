// Package admin defines the requests and answers of the operators' endpoints.
package admin
