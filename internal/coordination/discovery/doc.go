// Package discovery follows the store: the operators' configuration, the entries of backend servers, and the entries of
// the other routers. It lists all keys once, follows their changes with one long poll, and lists again when the store
// has discarded its history. Each answer is also a proof of freshness as of the moment at which the call was sent.
//
// An entry that vanishes while the store was not reachable may have lapsed only because its server could not renew it.
// Such a server is kept for a while; its entry comes back if the server lives.
package discovery
