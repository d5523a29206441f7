// Package sockopt sets the socket options that close a TCP connection to an unresponsive peer.
package sockopt
