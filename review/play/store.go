package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's key-value store. It injects no faults.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
	addr     string
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"createdAt,omitempty"`
	LeaseID   int64  `json:"leaseId"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func startStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(ln, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	cannotRun(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, leaseID int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, LeaseID: leaseID}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.LeaseID == id {
			s.delete(k)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	n := min(len(out), 500)
	reply(w, http.StatusOK, map[string]any{"items": out[:n], "hasMore": n < len(out), "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []item   `json:"precondition"`
		Writes       []item   `json:"writes"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range in.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[p.Key]}})
			return
		}
	}
	for _, wr := range in.Writes {
		if wr.LeaseID != 0 && s.leases[wr.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wr := range in.Writes {
		s.write(wr.Key, wr.Value, wr.LeaseID)
	}
	for _, k := range in.Remove {
		s.delete(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&in)
	ttl, errTTL := time.ParseDuration(in.TTL)
	if err != nil || errTTL != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"leaseId": s.next, "ttl_time": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
