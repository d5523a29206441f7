// Package gateway composes a router process on the users' platform. The router forwards clients' requests unchanged,
// discovers backend servers and other routers through the platform's store, and balances the load of the fleet by means
// of reports between routers.
package gateway
