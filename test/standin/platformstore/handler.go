package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const pathBase = "/gooseberrytide/"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, pathBase)
	kind, id, _ := strings.Cut(name, "/")
	s.mu.Lock()
	s.calls[kind]++
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
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
		s.serveKeepAlive(w, id)
	case "kv-lease-end":
		s.serveLeaseRevoke(w, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client notices an incomplete response
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	query := r.URL.Query()
	page := struct {
		Items      []Item `json:"items"`
		HasMore    bool   `json:"hasMore"`
		CurrentRev int64  `json:"currentRev"`
	}{Items: []Item{}, CurrentRev: s.revision}
	for _, key := range s.keysWithPrefix(query.Get("pathPrefix")) {
		if key <= query.Get("after") {
			continue
		}
		if len(page.Items) == s.pageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
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
		s.expireLeases()
		changes, ok := s.changesSince(query.Get("pathPrefix"), after)
		revision, changed, down := s.revision, s.changed, s.down
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case !ok:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes) > 0:
			writeJSON(w, map[string]any{"events": changes, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []Item{}, "currentRev": revision})
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
	s.expireLeases()
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
	if s.loseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"revision": s.revision})
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
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, map[string]int64{"lease": id, "ttlMs": body.TTLMS})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	n, err := strconv.ParseInt(id, 10, 64)
	l := s.leases[n]
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseRevoke(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.revokeLease(n)
	writeJSON(w, struct{}{})
}
