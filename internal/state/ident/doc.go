// Package ident defines the typed identifiers that all layers share.
package ident
