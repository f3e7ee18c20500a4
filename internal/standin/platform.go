package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/instancelist"
)

// Platform is a stand-in of the platform's instance list. It may lag: changes
// show only after Publish.
type Platform struct {
	mu      sync.Mutex
	current instancelist.Document
	shown   []byte
	down    bool
	// reads counts all readings, sent those that got the whole list.
	reads, sent int
}

// ReadCounts returns how often the list was read, and how often it was sent
// whole because it had changed.
func (p *Platform) ReadCounts() (reads, sent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.sent
}

// NewPlatform returns an empty list.
func NewPlatform() *Platform {
	p := &Platform{}
	p.Publish()
	return p
}

// PutEndpoint adds or replaces an endpoint.
func (p *Platform) PutEndpoint(e instancelist.EndpointRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Endpoints = slices.DeleteFunc(p.current.Endpoints, func(o instancelist.EndpointRecord) bool { return o.ID == e.ID })
	p.current.Endpoints = append(p.current.Endpoints, e)
}

// PutEntry adds or replaces an entry instance.
func (p *Platform) PutEntry(e instancelist.EntryRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Entries = slices.DeleteFunc(p.current.Entries, func(o instancelist.EntryRecord) bool { return o.ID == e.ID })
	p.current.Entries = append(p.current.Entries, e)
}

// Remove removes the endpoint or entry instance with the id.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Endpoints = slices.DeleteFunc(p.current.Endpoints, func(o instancelist.EndpointRecord) bool { return string(o.ID) == id })
	p.current.Entries = slices.DeleteFunc(p.current.Entries, func(o instancelist.EntryRecord) bool { return string(o.ID) == id })
}

// Publish makes all changes since the last Publish visible.
func (p *Platform) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shown, _ = json.Marshal(p.current)
}

// SetDown makes the list fail.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// ServeHTTP serves the list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, down := p.shown, p.down
	if !down {
		p.reads++
	}
	p.mu.Unlock()
	if down || r.URL.Path != instancelist.PathInstances {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	etag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	p.mu.Lock()
	p.sent++
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
