// Package routing holds the operators' routing configuration as an immutable table: routes by host and longest path
// prefix, the services that they route to, and the teams by API key. A Holder replaces the table atomically and never
// goes back to an older version.
package routing
