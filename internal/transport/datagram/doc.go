// Package datagram carries small messages between routers over UDP. Messages may be lost.
package datagram
