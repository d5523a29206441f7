package kv_test

import (
	"testing"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
	"gooseberrytide.example/gooseberrytide/internal/state/kv/kvtest"
)

// Guards against a fake store that behaves differently from the clients of real stores.
func TestFakeContract(t *testing.T) { kvtest.CheckStore(t, kv.NewFake()) }

// Guards against a fake feed that behaves differently from the client of the platform's store.
func TestFakeFeedContract(t *testing.T) {
	feed := kv.NewFakeFeed()
	kvtest.CheckFeed(t, feed, feed)
}

func TestFakeFeedRestore(t *testing.T) {
	feed := kv.NewFakeFeed()
	kvtest.CheckRestore(t, feed, feed, func() func() {
		state := feed.Copy()
		return func() { feed.Restore(state) }
	})
}
