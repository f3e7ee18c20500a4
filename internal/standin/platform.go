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

// Platform is a stand-in for the platform's instance list. Changes are visible
// only after Publish, so that tests can make the list lag.
type Platform struct {
	mu        sync.Mutex
	pending   instancelist.Document
	published []byte
	down      bool
	// reads counts all reads of the list, fullReads those with a full response.
	reads, fullReads int
}

// ReadCounts returns how often the list was read, and how often the response
// contained the list because it had changed.
func (p *Platform) ReadCounts() (reads, fullReads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.fullReads
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
	p.pending.Endpoints = slices.DeleteFunc(p.pending.Endpoints, func(o instancelist.EndpointRecord) bool { return o.ID == e.ID })
	p.pending.Endpoints = append(p.pending.Endpoints, e)
}

// PutEntry adds or replaces an entry instance.
func (p *Platform) PutEntry(e instancelist.EntryRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Entries = slices.DeleteFunc(p.pending.Entries, func(o instancelist.EntryRecord) bool { return o.ID == e.ID })
	p.pending.Entries = append(p.pending.Entries, e)
}

// Remove removes the endpoint or entry instance with the id.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending.Endpoints = slices.DeleteFunc(p.pending.Endpoints, func(o instancelist.EndpointRecord) bool { return string(o.ID) == id })
	p.pending.Entries = slices.DeleteFunc(p.pending.Entries, func(o instancelist.EntryRecord) bool { return string(o.ID) == id })
}

// Publish makes all changes since the last Publish visible.
func (p *Platform) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published, _ = json.Marshal(p.pending)
}

// SetDown makes reads of the list fail, or succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// ServeHTTP implements http.Handler. It serves the list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, down := p.published, p.down
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
	p.fullReads++
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
