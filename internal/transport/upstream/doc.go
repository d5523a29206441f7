// Package upstream sends requests to backend servers over persistent HTTP/1.1 connections.
//
// It uses the message codec of net/http but not its Transport, which automatically resends a request when a reused
// connection breaks, and treats any bytes on a connection as the next response. This package writes a request only
// once, its errors tell whether any byte of the request was written, and it skips responses that belong to other
// requests.
package upstream
