// Package sockopt sets the socket options that end a TCP connection to a silent peer.
package sockopt
