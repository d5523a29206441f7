// Package freshness tells how old a router's knowledge of the store is. A router that cannot show that it knows the
// newest configuration must not accept API keys that may have been removed.
package freshness
