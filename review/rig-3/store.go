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

// store is a stand-in of the platform's metadata store (PROTOCOL.md). It has one address
// for each instance, so that the calls of instances can be told apart.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
	// watches counts the waiting watch calls of each instance, and watchedAt is when the
	// last one began.
	watches   map[string]int
	watchedAt map[string]time.Time
	// refused has the instances that the store turns away with status 503.
	refused map[string]bool
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

const (
	// answerTime is how long the store takes for a call (site sheets: 4 ms).
	answerTime = 4 * time.Millisecond
	pageItems  = 50
)

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		watches: map[string]int{}, watchedAt: map[string]time.Time{}, refused: map[string]bool{}}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.ends) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// listen returns an address of the store for one instance.
func (s *store) listen(instance string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(instance, w, r) }))
	}()
	return ln.Addr().String()
}

// watchers returns the instances with a waiting watch call.
func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, n := range s.watches {
		if n > 0 {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, value, 0)
}

func (s *store) putJSON(key string, v any) int64 {
	b, err := json.Marshal(v)
	check(err)
	return s.put(key, b)
}

func (s *store) write(key string, value []byte, leaseID int64) int64 {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, LeaseID: leaseID}
	s.items[key] = it
	s.note(it)
	return s.revision
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.note(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.LeaseID == id {
			s.drop(k)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) serve(instance string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	refused := s.refused[instance]
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"at": at})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			At int64 `json:"at"`
		}{it, at})
	case path == "/kv-range":
		s.list(w, q.Get("pathPrefix"), q.Get("after"))
	case path == "/kv-watch":
		s.watch(instance, w, r)
	case path == "/kv-txn":
		s.txn(w, r)
	case path == "/kv-lease":
		var in struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl, err := time.ParseDuration(in.TTL)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.next++
		id := s.next
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"leaseId": id, "ttl_time": in.TTL})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.ends = time.Now().Add(l.ttl)
		}
		reply(w, http.StatusOK, map[string]any{"ttl_time": l.ttl.String()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	var out []item
	s.mu.Lock()
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	n, size := 0, 0
	for n < min(len(out), pageItems) && (n == 0 || size+len(out[n].Value) <= 1<<20) {
		size += len(out[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": out[:n], "hasMore": n < len(out), "at": at})
}

func (s *store) watch(instance string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.watches[instance]++
	s.watchedAt[instance] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches[instance]--
		s.mu.Unlock()
	}()
	for {
		var events []item
		s.mu.Lock()
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		at, changed, refused := s.revision, s.changed, s.refused[instance]
		s.mu.Unlock()
		if refused {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "at": after})
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
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if wr.LeaseID != 0 && s.leases[wr.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wr := range in.Writes {
		s.write(wr.Key, wr.Value, wr.LeaseID)
	}
	for _, k := range in.Remove {
		s.drop(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
