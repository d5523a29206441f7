package kvstore

import (
	"bytes"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the history, so that memory stays bounded in a long run.
const (
	// maxVersions is the number of states kept for each key.
	maxVersions      = 32
	defaultMaxEvents = 10_000
)

type lease struct {
	// ttl is in seconds.
	ttl   int64
	timer *time.Timer
	keys  map[string]bool
}

// versionedData holds the keys of the store with a bounded history. Callers of its methods, except expire, hold mu.
type versionedData struct {
	mu       sync.Mutex
	revision int64
	// versions holds the latest states of each key, oldest first. A state with Version 0 is a deletion.
	versions map[string][]keyValue
	events   []event
	// compacted is the revision of the latest event removed from the history.
	compacted int64
	maxEvents int
	// changed is closed and replaced at each change.
	changed   chan struct{}
	leases    map[int64]*lease
	nextLease int64
	// clusterID identifies the data; it changes with each restore.
	clusterID atomic.Int64
}

// header returns the header of a response at a revision.
func (d *versionedData) header(revision int64) header {
	return header{ClusterID: strconv.FormatInt(d.clusterID.Load(), 10), Revision: revision}
}

// Copy is the data of a store at some time.
type Copy struct {
	revision int64
	versions map[string][]keyValue
}

// copy returns the present data.
func (d *versionedData) copy() Copy {
	c := Copy{revision: d.revision, versions: make(map[string][]keyValue, len(d.versions))}
	for key, list := range d.versions {
		c.versions[key] = slices.Clone(list)
	}
	return c
}

// restore replaces the data by a copy. Leases and the history of events are gone.
func (d *versionedData) restore(c Copy) {
	d.clusterID.Add(1)
	d.revision, d.compacted = c.revision, c.revision
	d.events = nil
	d.versions = make(map[string][]keyValue, len(c.versions))
	for key, list := range c.versions {
		d.versions[key] = slices.Clone(list)
	}
	for _, l := range d.leases {
		l.timer.Stop()
	}
	d.leases = make(map[int64]*lease)
	close(d.changed)
	d.changed = make(chan struct{})
}

func newVersionedData(maxEvents int) *versionedData {
	d := &versionedData{
		revision:  1,
		versions:  make(map[string][]keyValue),
		maxEvents: maxEvents,
		changed:   make(chan struct{}),
		leases:    make(map[int64]*lease),
	}
	d.clusterID.Store(firstClusterID)
	return d
}

// firstClusterID is the cluster before the first restore.
const firstClusterID = 1000

// lookup returns the state that a key had the given number of changes ago, and whether the key existed then.
func (d *versionedData) lookup(key string, changesBack int) (keyValue, bool) {
	list := d.versions[key]
	index := len(list) - 1 - changesBack
	if index < 0 || list[index].Version == 0 {
		return keyValue{}, false
	}
	return list[index], true
}

func (d *versionedData) readRange(r rangeRequest, changesBack int) *rangeResponse {
	response := &rangeResponse{Header: d.header(d.revision)}
	for _, key := range d.keysInRange(r.Key, r.RangeEnd) {
		kv, ok := d.lookup(key, changesBack)
		if !ok {
			continue
		}
		response.Count++
		if r.Limit > 0 && int64(len(response.Kvs)) >= r.Limit {
			response.More = true
			continue
		}
		response.Kvs = append(response.Kvs, kv)
	}
	return response
}

func (d *versionedData) keysInRange(key, end []byte) []string {
	if len(end) == 0 {
		return []string{string(key)}
	}
	var keys []string
	for candidate := range d.versions {
		if inRange(candidate, key, end) {
			keys = append(keys, candidate)
		}
	}
	sort.Strings(keys)
	return keys
}

// inRange reports whether candidate is in the range [key, end). As in the etcd protocol, an empty end selects the
// single key, and the end "\x00" means that the range has no upper bound.
func inRange(candidate string, key, end []byte) bool {
	if len(end) == 0 {
		return candidate == string(key)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return candidate >= string(key) && (unbounded || candidate < string(end))
}

func (d *versionedData) compareHolds(c compare) bool {
	current, _ := d.lookup(string(c.Key), 0)
	if c.Target == targetValue {
		return bytes.Equal(current.Value, c.Value) == (c.Result == "" || c.Result == "EQUAL")
	}
	switch c.Result {
	case "", "EQUAL":
		return current.ModRevision == c.ModRevision
	case "NOT_EQUAL":
		return current.ModRevision != c.ModRevision
	case "GREATER":
		return current.ModRevision > c.ModRevision
	default:
		return current.ModRevision < c.ModRevision
	}
}

// txn executes a transaction. All its writes get the same revision.
func (d *versionedData) txn(r txnRequest) *txnResponse {
	response := &txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		response.Succeeded = response.Succeeded && d.compareHolds(c)
	}
	ops := r.Success
	if !response.Succeeded {
		ops = r.Failure
	}
	revision := d.revision + 1
	for _, op := range ops {
		response.Responses = append(response.Responses, d.applyOp(op, revision))
	}
	response.Header = d.header(d.revision)
	return response
}

func (d *versionedData) applyOp(op requestOp, revision int64) responseOp {
	switch {
	case op.Put != nil:
		d.put(*op.Put, revision)
		return responseOp{Put: &putResponse{Header: d.header(revision)}}
	case op.Delete != nil:
		deleted := d.remove(string(op.Delete.Key), revision)
		return responseOp{Delete: &deleteResponse{Header: d.header(d.revision), Deleted: deleted}}
	case op.Range != nil:
		return responseOp{Range: d.readRange(*op.Range, 0)}
	}
	return responseOp{}
}

func (d *versionedData) put(r putRequest, revision int64) {
	key := string(r.Key)
	kv, exists := d.lookup(key, 0)
	if !exists {
		kv = keyValue{Key: r.Key, CreateRevision: revision}
	}
	kv.ModRevision = revision
	kv.Version++
	kv.Value = r.Value
	kv.Lease = r.Lease
	if l, ok := d.leases[r.Lease]; ok {
		l.keys[key] = true
	}
	d.recordEvent(event{Kv: kv})
}

func (d *versionedData) remove(key string, revision int64) int64 {
	if _, exists := d.lookup(key, 0); !exists {
		return 0
	}
	d.recordEvent(event{Type: "DELETE", Kv: keyValue{Key: []byte(key), ModRevision: revision}})
	return 1
}

func (d *versionedData) recordEvent(e event) {
	key := string(e.Kv.Key)
	list := append(d.versions[key], e.Kv)
	if len(list) > maxVersions {
		list = append([]keyValue(nil), list[len(list)-maxVersions:]...)
	}
	d.versions[key] = list
	d.events = append(d.events, e)
	if len(d.events) > d.maxEvents {
		d.compacted = d.events[0].Kv.ModRevision
		d.events = d.events[1:]
	}
	d.revision = e.Kv.ModRevision
	d.notifyWatchers()
}

func (d *versionedData) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// eventsSince returns the events of a range from a revision on, and a channel that is closed at the next change.
func (d *versionedData) eventsSince(r watchCreate, revision int64) ([]event, <-chan struct{}) {
	first := sort.Search(len(d.events), func(i int) bool { return d.events[i].Kv.ModRevision >= revision })
	var list []event
	for _, e := range d.events[first:] {
		if inRange(string(e.Kv.Key), r.Key, r.RangeEnd) {
			list = append(list, e)
		}
	}
	return list, d.changed
}
