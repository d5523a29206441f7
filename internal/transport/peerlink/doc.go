// Package peerlink connects routers over authenticated TCP links.
//
// One listener accepts two kinds of connections: frames for the frequent messages, and JSON-RPC 2.0 for rare calls. Both
// start with a mutual HMAC-SHA256 challenge-response that binds the names and incarnations of both ends, and then carry
// records with a truncated MAC under a key of the connection and the direction. Records are authenticated, not encrypted.
package peerlink
