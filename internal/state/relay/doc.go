// Package relay defines the typed metadata of requests that the router forwards unchanged, and of their responses.
package relay
