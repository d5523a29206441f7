// Package peerlink connects routers over authenticated TCP links.
//
// One listener accepts two kinds of connections: links that carry frames of frequent messages, and JSON-RPC 2.0
// connections for rare calls. Both start with a mutual HMAC-SHA256 challenge-response handshake that binds the names
// and incarnations of both ends. Then they carry records, each with a truncated MAC under a key of the connection and
// the direction. Records are authenticated, not encrypted.
package peerlink
