// Package gateway composes a router process on the users' platform: it takes clients' requests as they are, finds
// backend servers and other routers through the platform's store, and shares the load of the fleet by reports between
// routers.
package gateway
