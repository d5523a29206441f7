package claim

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"gooseberrytide.example/gooseberrytide/internal/state/kv"
)

// fault is a failure that is injected into one call of the fake store.
type fault int

const (
	faultNone    fault = iota
	faultRefused       // the call is refused
	faultLost          // the write takes effect and its response is lost
	faultDropped       // the write has no effect and its response is lost
	faultLate          // the write takes effect later and its response is lost
)

// fakeStore is a linearizable store that injects faults.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision kv.Revision
	writes   int
	reads    int
	// onWrite and onRead return the fault of a call; nil means none.
	onWrite func(key string, value []byte) fault
	onRead  func(key string) fault
	// delay returns the duration of a call, and late the delay of a late write. A nil delay means no time.
	delay, late func() time.Duration
	background  sync.WaitGroup
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]kv.Entry{}} }

func (s *fakeStore) wait() {
	if s.delay != nil {
		time.Sleep(s.delay())
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.onRead != nil && s.onRead(key) != faultNone {
		return kv.Entry{}, kv.ErrUnavailable
	}
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) List(_ context.Context, prefix, after string, limit int) ([]kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var list []kv.Entry
	for _, key := range keys[:min(limit, len(keys))] {
		list = append(list, s.entries[key])
	}
	return list, nil
}

func (s *fakeStore) CompareAndSwap(
	_ context.Context, key string, expect kv.Revision, value []byte,
) (kv.Revision, error) {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	chosen := faultNone
	if s.onWrite != nil {
		chosen = s.onWrite(key, value)
	}
	switch chosen {
	case faultRefused:
		return 0, kv.ErrUnavailable
	case faultDropped:
		return 0, kv.ErrUncertain
	case faultLost:
		_, _ = s.apply(key, expect, value)
		return 0, kv.ErrUncertain
	case faultLate:
		s.background.Go(func() {
			time.Sleep(s.late())
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(key, expect, value)
		})
		return 0, kv.ErrUncertain
	}
	return s.apply(key, expect, value)
}

func (s *fakeStore) apply(key string, expect kv.Revision, value []byte) (kv.Revision, error) {
	if s.entries[key].Revision != expect {
		return 0, kv.ErrConflict
	}
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	return s.revision, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, expect kv.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.entries[key].Revision != expect {
		return kv.ErrConflict
	}
	delete(s.entries, key)
	return nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ kv.Revision) (kv.Entry, error) {
	<-ctx.Done()
	return kv.Entry{}, ctx.Err()
}

// record returns the record of a call, or nil.
func (s *fakeStore) record(c Call) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[storeKey(c)]
	if !ok {
		return nil
	}
	r, err := decodeRecord(e.Value)
	if err != nil {
		panic(err)
	}
	return &r
}

// setFaults replaces onWrite and onRead.
func (s *fakeStore) setFaults(onWrite func(string, []byte) fault, onRead func(string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = onWrite
	s.onRead = onRead
}

// failNth returns an onWrite function that injects the fault into the n-th write only, counted from 1.
func failNth(n int, f fault) func(string, []byte) fault {
	count := 0
	return func(string, []byte) fault {
		count++
		if count == n {
			return f
		}
		return faultNone
	}
}

// randomFaults returns an onWrite function that injects a random fault into a percentage of the writes.
func randomFaults(random *lockedRand, percent int64) func(string, []byte) fault {
	kinds := []fault{faultRefused, faultLost, faultDropped, faultLate}
	return func(string, []byte) fault {
		if random.int64n(100) >= percent {
			return faultNone
		}
		return kinds[random.int64n(int64(len(kinds)))]
	}
}

// allRecords returns all records by key.
func (s *fakeStore) allRecords() map[string]record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := map[string]record{}
	for key, e := range s.entries {
		r, err := decodeRecord(e.Value)
		if err != nil {
			panic(err)
		}
		records[key] = r
	}
	return records
}

// hangingStore returns only when the context ends, as a client does when the store does not respond.
type hangingStore struct{ *fakeStore }

func (h hangingStore) Get(ctx context.Context, _ string) (kv.Entry, error) {
	<-ctx.Done()
	return kv.Entry{}, kv.ErrUnavailable
}

func (h hangingStore) CompareAndSwap(ctx context.Context, _ string, _ kv.Revision, _ []byte) (kv.Revision, error) {
	<-ctx.Done()
	return 0, kv.ErrUncertain
}
