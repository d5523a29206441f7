// Package adminhttp serves the operator's endpoints over HTTP, and calls them.
package adminhttp
