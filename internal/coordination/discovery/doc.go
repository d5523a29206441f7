// Package discovery watches the store for the operators' configuration, the entries of backend servers, and the entries
// of the other routers. It lists all keys once, then reads their changes by long polling, and lists again when the
// store has compacted its history. Each answer also proves that the local state was fresh when the call was sent.
//
// An entry that disappears after a store outage may have expired only because its server could not renew it. Such a
// server is kept for a grace period, in which a running server writes its entry again. A loss of contact of this router is
// no outage if another router had contact meanwhile.
package discovery
