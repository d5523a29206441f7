package platformstore

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a state of a key: its value and revisions, or its deletion.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	era      int64
	revision int64
	items    map[string]Item
	history  []Item
	// compacted is the revision up to which the history is discarded.
	compacted int64
	leases    map[int64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   map[string]int
	// down refuses all calls; loseWriteResponses applies writes and closes the connection without a response.
	down               bool
	loseWriteResponses bool
	pageItems          int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// defaultPageItems is the default number of items in a page of a range.
const defaultPageItems = 500

// New returns an empty store.
func New() *Store {
	return &Store{
		revision:  10,
		items:     make(map[string]Item),
		leases:    make(map[int64]*lease),
		changed:   make(chan struct{}),
		calls:     make(map[string]int),
		pageItems: defaultPageItems,
	}
}

// Put writes a key, including keys that only the operator and backend servers may write.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// SetDown starts or ends an outage. Pending long polls are interrupted.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetLoseWriteResponses controls whether the store applies writes without responding.
func (s *Store) SetLoseWriteResponses(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseWriteResponses = lose
}

// SetPageItems sets the number of items in a page of a range.
func (s *Store) SetPageItems(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = n
}

// Compact discards the history and wakes pending long polls.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.notifyWatchers()
}

// Copy is a state of a Store.
type Copy struct {
	revision int64
	items    map[string]Item
}

// Copy returns the current state, for Restore. It has no keys with leases, since leases are not part of a copy.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := maps.Clone(s.items)
	maps.DeleteFunc(items, func(_ string, item Item) bool { return item.Lease != 0 })
	return Copy{revision: s.revision, items: items}
}

// Restore replaces the state by an older copy: leases are gone, the revision goes back, and a new era begins.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compacted = c.revision, c.revision
	s.items = maps.Clone(c.items)
	s.history = nil
	s.leases = make(map[int64]*lease)
	s.notifyWatchers()
}

// Calls returns the number of calls by endpoint, such as kv-txn.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Keys returns the keys with a prefix in lexical order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.keysWithPrefix(prefix)
}

func (s *Store) keysWithPrefix(prefix string) []string {
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// write writes a key and records the change. The caller holds s.mu.
func (s *Store) write(key string, value []byte, lease int64) {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		item.Created = before.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.notifyWatchers()
}

// remove deletes a key, if it exists, and records the change. The caller holds s.mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyWatchers()
}

// notifyWatchers wakes the long polls that wait for a change. The caller holds s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases revokes the expired leases. The caller holds s.mu.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.revokeLease(id)
		}
	}
}

// revokeLease ends a lease and deletes its keys. The caller holds s.mu.
func (s *Store) revokeLease(id int64) {
	delete(s.leases, id)
	for _, key := range s.keysWithPrefix("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// changesSince returns the changes after a revision, and whether the history still holds them. The caller holds s.mu.
func (s *Store) changesSince(prefix string, after int64) ([]Item, bool) {
	if after < s.compacted || after > s.revision {
		return nil, false
	}
	var changes []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			changes = append(changes, item)
		}
	}
	return changes, true
}
