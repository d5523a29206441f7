package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const base = "/gooseberrytide/"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, base)
	kind, id, _ := strings.Cut(name, "/")
	s.mu.Lock()
	s.calls[kind]++
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch kind {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep":
		s.serveKeep(w, id)
	case "kv-lease-end":
		s.serveLeaseEnd(w, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller sees a broken answer
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, item)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query := r.URL.Query()
	page := struct {
		Items      []Item `json:"items"`
		HasMore    bool   `json:"hasMore"`
		CurrentRev int64  `json:"currentRev"`
	}{Items: []Item{}, CurrentRev: s.revision}
	for _, key := range s.keys(query.Get("pathPrefix")) {
		if key <= query.Get("after") {
			continue
		}
		if len(page.Items) == s.pageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	reply(w, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		changes, ok := s.since(query.Get("pathPrefix"), after)
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case !ok:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes) > 0:
			reply(w, map[string]any{"events": changes, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": []Item{}, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range body.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	if s.loseWrites {
		panic(http.ErrAbortHandler)
	}
	reply(w, map[string]int64{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	id := int64(1000 + len(s.leases) + s.calls["kv-lease"])
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, map[string]int64{"lease": id, "ttlMs": body.TTLMS})
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	n, err := strconv.ParseInt(id, 10, 64)
	l := s.leases[n]
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.end(n)
	reply(w, struct{}{})
}
