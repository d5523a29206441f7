// Package freshness measures how old a router's knowledge of the store is. A router that cannot prove that it has a
// recent configuration must not accept API keys, since they may have been removed.
package freshness
