// Package adminhttp contains the HTTP handler and the client of the operator API.
package adminhttp
