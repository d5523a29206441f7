// Package datagram sends and receives small messages between routers over UDP. Messages may be lost.
package datagram
