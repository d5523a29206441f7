// Package routing holds the operators' routing configuration as an immutable table: routes by host and longest path
// prefix, the services that they lead to, and the teams by API key. A Holder swaps tables whole and never goes back to
// an older version.
package routing
