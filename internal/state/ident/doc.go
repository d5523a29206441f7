// Package ident defines the typed identifiers that all layers use.
package ident
