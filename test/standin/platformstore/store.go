package platformstore

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the state. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []Item
	// compacted is the revision up to which the history is discarded.
	compacted int64
	leases    map[int64]*lease
	changed   chan struct{}
	calls     map[string]int
	// down refuses all calls; loseWrites does writes and loses their answers.
	down       bool
	loseWrites bool
	pageItems  int
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// pageItems is the default size of a page.
const pageItems = 500

// New returns an empty store.
func New() *Store {
	return &Store{
		revision:  10,
		items:     make(map[string]Item),
		leases:    make(map[int64]*lease),
		changed:   make(chan struct{}),
		calls:     make(map[string]int),
		pageItems: pageItems,
	}
}

// Put writes a key, as the operator or a backend server does.
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

// SetDown starts or ends an outage. Waiting polls are cut.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetLoseWrites makes the store do writes and lose their answers.
func (s *Store) SetLoseWrites(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseWrites = lose
}

// SetPageItems sets the size of a page.
func (s *Store) SetPageItems(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = n
}

// Compact discards the history and cuts waiting polls.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.wake()
}

// Calls returns the numbers of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Keys returns the keys with a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.keys(prefix)
}

func (s *Store) keys(prefix string) []string {
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// write adds a change. The lock is held.
func (s *Store) write(key string, value []byte, lease int64) {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		item.Created = before.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.wake()
}

// remove adds a deletion. The lock is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// wake ends the waits for a change. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over. The lock is held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys. The lock is held.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for _, key := range s.keys("") {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// since returns the changes above a revision, and whether the history still holds them. The lock is held.
func (s *Store) since(prefix string, after int64) ([]Item, bool) {
	if after < s.compacted {
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
