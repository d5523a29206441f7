// Package upstream sends requests to backend servers over kept HTTP/1.1 connections.
//
// It is built on the message codec of net/http and not on its Transport, which sends a request again by itself when a
// kept connection breaks, and takes any bytes on a connection for the next answer. Here a request is written once, an
// error tells whether any byte of it was written, and answers that belong to another request are passed over.
package upstream
