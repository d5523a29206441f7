// Package memory keeps the account of the memory that a router holds for its clients: connections, headers, bodies,
// running requests and responses that have not been read.
//
// It answers the load pattern of one team, or of one address, that takes the memory of all: with many large bodies, long
// headers, connections or responses that it does not read. Above the limit, the team that holds the most is refused, or
// its largest holder is ended; other teams still get memory.
package memory
