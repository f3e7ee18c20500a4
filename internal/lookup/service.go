package lookup

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// TTL is how long a caller may cache an answer.
const TTL = 10 * time.Second

// cacheControl is the Cache-Control value for TTL.
const cacheControl = "max-age=10"

// Service serves lookups over HTTP from the current members and rules.
type Service struct {
	view func() *membership.View

	mu        sync.Mutex
	callers   []rules.CallerBlock
	table     *Table
	set       *rules.Set
	distances Distances
	current   atomic.Pointer[Directory]

	lookups, bad, empty atomic.Int64
}

// NewService returns a Service without rules. It calls view for each lookup;
// view must return the same pointer while the members are unchanged.
func NewService(view func() *membership.View) *Service {
	return &Service{view: view, table: NewTable(nil), set: &rules.Set{}}
}

// SetRules replaces the rules. The table of caller blocks is rebuilt only if the
// blocks changed, in the calling goroutine; meanwhile lookups use the old table.
func (s *Service) SetRules(set *rules.Set, distances Distances) {
	s.mu.Lock()
	callers, table := s.callers, s.table
	s.mu.Unlock()
	if !slices.Equal(callers, set.Callers) {
		callers, table = set.Callers, NewTable(set.Callers)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers, s.table, s.set, s.distances = callers, table, set, distances
	s.current.Store(NewDirectory(table, s.view(), set, distances))
}

// Directory returns the directory for the current view, rebuilding it if the
// members have changed.
func (s *Service) Directory() *Directory {
	view := s.view()
	if d := s.current.Load(); d != nil && d.view == view {
		return d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.current.Load(); d != nil && d.view == view {
		return d
	}
	d := NewDirectory(s.table, view, s.set, s.distances)
	s.current.Store(d)
	return d
}

// Stats returns the counters in a form for expvar.Func.
func (s *Service) Stats() map[string]int64 {
	return map[string]int64{
		"lookups":            s.lookups.Load(),
		"lookups_bad":        s.bad.Load(),
		"lookups_empty":      s.empty.Load(),
		"caller_blocks":      int64(s.Directory().table.Len()),
		"caller_table_bytes": int64(s.Directory().table.Bytes()),
	}
}

// entriesBody is the response body of GET /v1/entries.
type entriesBody struct {
	TTLMS   int64        `json:"ttl_ms"`
	Region  model.Region `json:"region"`
	Entries []entryBody  `json:"entries"`
}

type entryBody struct {
	ID        model.InstanceID `json:"id"`
	Addr      netip.AddrPort   `json:"addr"`
	Region    model.Region     `json:"region"`
	Domain    model.Domain     `json:"domain"`
	KeyPrefix string           `json:"key_prefix"`
}

// problem is a problem details object (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// ServeHTTP handles GET /v1/entries?caller=ADDR. The parameter defaults to the
// remote address of the connection.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lookups.Add(1)
	addr, ok := s.callerOf(w, r)
	if !ok {
		return
	}
	answer := s.Directory().Lookup(addr)
	if len(answer.Entries) == 0 {
		s.empty.Add(1)
		w.Header().Set("Retry-After", "1")
		writeProblem(w, http.StatusServiceUnavailable, "no instance takes callers at present")
		return
	}
	body := entriesBody{TTLMS: TTL.Milliseconds(), Region: answer.Region}
	body.Entries = make([]entryBody, 0, len(answer.Entries))
	for _, m := range answer.Entries {
		body.Entries = append(body.Entries, entryBody{m.ID, m.EntryAddr, m.Region, m.Domain, m.KeyPrefix})
	}
	w.Header().Set("Cache-Control", cacheControl)
	writeJSON(w, http.StatusOK, "application/json", body)
}

// callerOf returns the caller's address. If the request is invalid, it writes a
// problem response and returns false.
func (s *Service) callerOf(w http.ResponseWriter, r *http.Request) (netip.Addr, bool) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.bad.Add(1)
		w.Header().Set("Allow", "GET, HEAD")
		writeProblem(w, http.StatusMethodNotAllowed, "use GET")
		return netip.Addr{}, false
	}
	addr, err := callerAddr(r)
	if err != nil {
		s.bad.Add(1)
		writeProblem(w, http.StatusBadRequest, err.Error())
		return netip.Addr{}, false
	}
	return addr, true
}

func callerAddr(r *http.Request) (netip.Addr, error) {
	query := r.URL.Query()
	if !query.Has("caller") {
		ap, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			return netip.Addr{}, errors.NotValidf("address of the connection")
		}
		return ap.Addr(), nil
	}
	values := query["caller"]
	if len(values) > 1 {
		return netip.Addr{}, errors.NotValidf("caller given %d times", len(values))
	}
	addr, err := netip.ParseAddr(values[0])
	if err != nil {
		return netip.Addr{}, errors.NotValidf("caller %.64q (want an IP address)", values[0])
	}
	return addr, nil
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Cache-Control", "no-store")
	p := problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
	writeJSON(w, status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
