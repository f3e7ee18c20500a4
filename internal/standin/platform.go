package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"jujubestile.example/jujubestile/internal/platform"
)

// Platform is a stand-in of the platform's instance list. It may lag: changes
// show only after Publish.
type Platform struct {
	mu      sync.Mutex
	current platform.Document
	shown   []byte
	down    bool
}

// NewPlatform returns an empty list.
func NewPlatform() *Platform {
	p := &Platform{}
	p.Publish()
	return p
}

// PutEndpoint adds or replaces an endpoint.
func (p *Platform) PutEndpoint(e platform.EndpointRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Endpoints = slices.DeleteFunc(p.current.Endpoints, func(o platform.EndpointRecord) bool { return o.ID == e.ID })
	p.current.Endpoints = append(p.current.Endpoints, e)
}

// PutEntry adds or replaces an entry instance.
func (p *Platform) PutEntry(e platform.EntryRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Entries = slices.DeleteFunc(p.current.Entries, func(o platform.EntryRecord) bool { return o.ID == e.ID })
	p.current.Entries = append(p.current.Entries, e)
}

// Remove removes the endpoint or entry instance with the id.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Endpoints = slices.DeleteFunc(p.current.Endpoints, func(o platform.EndpointRecord) bool { return string(o.ID) == id })
	p.current.Entries = slices.DeleteFunc(p.current.Entries, func(o platform.EntryRecord) bool { return string(o.ID) == id })
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
	p.mu.Unlock()
	if down || r.URL.Path != platform.PathInstances {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
