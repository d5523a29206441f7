// Package overlimit tests router processes under clients that keep to no limit: endless headers, bodies and empty lines,
// connections that send nothing, and responses that are not read.
package overlimit
