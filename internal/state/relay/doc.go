// Package relay holds the typed parts of requests that the router passes on unchanged, and of the answers to them.
package relay
