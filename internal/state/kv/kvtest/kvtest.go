// Package kvtest holds conformance tests for the interfaces of package kv. Fakes and clients of real stores pass the
// same tests, so that results of tests with a fake also hold for the clients.
package kvtest

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// CheckStore tests an empty store: compare-and-swap, paging, deletion and watches.
func CheckStore(t *testing.T, store kv.Store) {
	t.Run("compare and swap", func(t *testing.T) { checkCompareAndSwap(t, store) })
	if exact, ok := store.(kv.ExactSwapper); ok {
		t.Run("exact swap", func(t *testing.T) { checkExactSwap(t, store, exact) })
	}
	t.Run("list", func(t *testing.T) { checkList(t, store) })
	t.Run("watch", func(t *testing.T) { checkWatch(t, store) })
}

func checkCompareAndSwap(t *testing.T, store kv.Store) {
	g, ctx := gomega.NewWithT(t), t.Context()
	_, err := store.Get(ctx, "c/1")
	g.Expect(err).To(gomega.MatchError(kv.ErrNotFound))
	first, err := store.CompareAndSwap(ctx, "c/1", 0, []byte("one"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = store.CompareAndSwap(ctx, "c/1", 0, []byte("two"))
	g.Expect(err).To(gomega.MatchError(kv.ErrConflict), "the key exists")
	g.Expect(store.Get(ctx, "c/1")).To(gomega.Equal(kv.Entry{Key: "c/1", Value: []byte("one"), Revision: first}))
	second, err := store.CompareAndSwap(ctx, "c/1", first, []byte("two"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).To(gomega.BeNumerically(">", first))
	g.Expect(store.Delete(ctx, "c/1", first)).To(gomega.MatchError(kv.ErrConflict))
	g.Expect(store.Delete(ctx, "c/1", second)).To(gomega.Succeed())
	_, err = store.Get(ctx, "c/1")
	g.Expect(err).To(gomega.MatchError(kv.ErrNotFound))
	third, err := store.CompareAndSwap(ctx, "c/1", 0, []byte("three"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(third).To(gomega.BeNumerically(">", second), "revisions increase across a deletion")
	_, err = store.CompareAndSwap(ctx, "c/2", 0, make([]byte, kv.MaxValueBytes+1))
	g.Expect(err).To(gomega.MatchError(kv.ErrTooLarge))
}

func checkExactSwap(t *testing.T, store kv.Store, exact kv.ExactSwapper) {
	g, ctx := gomega.NewWithT(t), t.Context()
	revision, err := store.CompareAndSwap(ctx, "x/1", 0, []byte("one"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entry := kv.Entry{Key: "x/1", Value: []byte("another"), Revision: revision}
	_, err = exact.SwapExact(ctx, entry, []byte("two"))
	g.Expect(err).To(gomega.MatchError(kv.ErrConflict), "another value at the same revision")
	entry.Value = []byte("one")
	second, err := exact.SwapExact(ctx, entry, []byte("two"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(store.Get(ctx, "x/1")).To(gomega.Equal(kv.Entry{Key: "x/1", Value: []byte("two"), Revision: second}))
	_, err = exact.SwapExact(ctx, entry, []byte("three"))
	g.Expect(err).To(gomega.MatchError(kv.ErrConflict), "the same value at another revision")
	_, err = exact.SwapExact(ctx, kv.Entry{Key: "x/1", Value: []byte("two"), Revision: second},
		make([]byte, kv.MaxValueBytes+1))
	g.Expect(err).To(gomega.MatchError(kv.ErrTooLarge))
}

func checkList(t *testing.T, store kv.Store) {
	g, ctx := gomega.NewWithT(t), t.Context()
	for _, key := range []string{"a/3", "a/1", "b/1", "a/2"} {
		_, err := store.CompareAndSwap(ctx, key, 0, []byte(key))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	keys := func(prefix, after string, limit int) []string {
		entries, err := store.List(ctx, prefix, after, limit)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var list []string
		for _, e := range entries {
			list = append(list, e.Key)
		}
		return list
	}
	g.Expect(keys("a/", "", 10)).To(gomega.Equal([]string{"a/1", "a/2", "a/3"}))
	g.Expect(keys("a/", "a/1", 10)).To(gomega.Equal([]string{"a/2", "a/3"}))
	g.Expect(keys("a/", "", 1)).To(gomega.Equal([]string{"a/1"}))
	g.Expect(keys("none/", "", 10)).To(gomega.BeEmpty())
}

func checkWatch(t *testing.T, store kv.Store) {
	g := gomega.NewWithT(t)
	first, err := store.CompareAndSwap(t.Context(), "w", 0, []byte("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entry, err := store.Watch(t.Context(), "w", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entry.Revision).To(gomega.Equal(first), "the watch returns a change made before it started")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = store.Watch(ctx, "w", first)
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	received := make(chan kv.Entry, 1)
	go func() {
		entry, _ := store.Watch(t.Context(), "w", first) // the entry is empty on an error, which fails the check below
		received <- entry
	}()
	second, err := store.CompareAndSwap(t.Context(), "w", first, []byte("2"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(received, "5s").Should(
		gomega.Receive(gomega.Equal(kv.Entry{Key: "w", Value: []byte("2"), Revision: second})))
}

// FeedWriter changes the keys that a feed reads and controls its failures.
type FeedWriter interface {
	// Put writes a key.
	Put(key string, value []byte)
	// Remove deletes a key.
	Remove(key string)
	// Compact discards the history of changes.
	Compact()
	// SetDown starts or ends an outage.
	SetDown(down bool)
}

// CheckRestore tests a feed whose store comes back from an older copy. takeCopy copies the store and returns a function
// that restores it.
func CheckRestore(t *testing.T, feed kv.Feed, writer FeedWriter, takeCopy func() (restore func())) {
	g, ctx := gomega.NewWithT(t), t.Context()
	writer.Put("s/kept", []byte("1"))
	restore := takeCopy()
	writer.Put("s/lost", []byte("1"))
	_, before, err := feed.List(ctx, "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	waiting := make(chan error, 1)
	go func() {
		_, _, err := feed.Changes(ctx, "", before, 5*time.Second)
		waiting <- err
	}()
	time.Sleep(20 * time.Millisecond)
	restore()
	g.Eventually(waiting, "2s").Should(gomega.Receive(gomega.HaveOccurred()), "a waiting call ends")
	for range 3 {
		writer.Put("s/new", []byte("1")) // the revision passes the one before the restore
	}
	_, _, err = feed.Changes(ctx, "", before, time.Second)
	g.Expect(err).To(gomega.MatchError(kv.ErrRestored))
	entries, after, err := feed.List(ctx, "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entries).To(gomega.HaveLen(2))
	g.Expect(after.Era).To(gomega.BeNumerically(">", before.Era))
	g.Expect(after.Includes(before) || before.Includes(after)).To(gomega.BeFalse())
	_, _, err = feed.Changes(ctx, "", after, 10*time.Millisecond)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// CheckFeed tests a feed of an empty store: listing, changes, discarded history and an outage.
func CheckFeed(t *testing.T, feed kv.Feed, writer FeedWriter) {
	g, ctx := gomega.NewWithT(t), t.Context()
	for _, key := range []string{"s/a", "s/b", "s/c", "config"} {
		writer.Put(key, []byte(key))
	}
	entries, revision, err := feed.List(ctx, "s/")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entries).To(gomega.HaveLen(3), "only the keys with the prefix")
	stale, stalePosition, err := feed.ListStale(ctx, "s/")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(stale)).To(gomega.BeNumerically("<=", 3))
	writer.Put("s/d", []byte("new"))
	writer.Remove("s/a")
	changes, _, err := feed.Changes(ctx, "s/", stalePosition, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(stale)+len(changes)).To(gomega.BeNumerically(">=", 5), "a stale listing and the changes after it miss nothing")
	changes, next, err := feed.Changes(ctx, "s/", revision, time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.HaveLen(2))
	g.Expect(changes[0].Key).To(gomega.Equal("s/d"))
	g.Expect(changes[0].Value).To(gomega.Equal([]byte("new")))
	g.Expect(changes[1].Deleted).To(gomega.BeTrue())
	g.Expect(next.Includes(next.At(changes[1].Revision))).To(gomega.BeTrue())
	changes, sameRevision, err := feed.Changes(ctx, "s/", next, 10*time.Millisecond)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.BeEmpty())
	g.Expect(sameRevision).To(gomega.Equal(next))
	time.AfterFunc(20*time.Millisecond, func() { writer.Put("s/e", []byte("later")) })
	changes, _, err = feed.Changes(ctx, "s/", next, 5*time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(changes).To(gomega.HaveLen(1), "a waiting call returns when a key changes")
	writer.Compact()
	_, _, err = feed.Changes(ctx, "s/", revision, time.Second)
	g.Expect(err).To(gomega.MatchError(kv.ErrCompacted))
	entries, _, err = feed.List(ctx, "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(entries).To(gomega.HaveLen(5))
	writer.SetDown(true)
	_, _, err = feed.List(ctx, "")
	g.Expect(err).To(gomega.MatchError(kv.ErrUnavailable))
	_, _, err = feed.Changes(ctx, "", next, time.Second)
	g.Expect(err).To(gomega.MatchError(kv.ErrUnavailable))
}
