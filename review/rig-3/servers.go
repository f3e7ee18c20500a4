package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in of a backend (PROTOCOL.md, "Backends"). It writes its entry to the
// store and runs requests, each of which it records.
type backend struct {
	id, service, zone string
	slots             int
	work              time.Duration
	addr              string
	store             *store
	born              time.Time
	rec               *record

	mu       sync.Mutex
	sequence int
	running  int
}

func startBackend(s *store, rec *record, id, service, zone string, slots int, work time.Duration) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b := &backend{id: id, service: service, zone: zone, slots: slots, work: work, addr: ln.Addr().String(), store: s, born: time.Now(), rec: rec}
	b.report()
	go func() { _ = http.Serve(ln, b) }()
	return b
}

// report writes the backend's entry.
func (b *backend) report() {
	b.mu.Lock()
	b.sequence++
	seq := b.sequence
	b.mu.Unlock()
	b.store.putJSON("servers/"+b.id, map[string]any{"address": b.addr,
		"info":   map[string]any{"service": b.service, "configVersion": "v1", "zone": b.zone, "capacity": b.slots},
		"status": map[string]any{"state": "ready", "sequence": seq, "coldRemaining": "0ms"},
		"born":   b.born.UnixMilli()})
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Instance-Id", b.id)
	b.mu.Lock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", b.running, b.slots))
	b.mu.Unlock()
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	b.mu.Lock()
	full := b.running >= b.slots
	if !full {
		b.running++
	}
	b.mu.Unlock()
	if full || id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	b.rec.run(id, b.service, b.id)
	h.Set("X-Server-Signature", "sig."+id+"."+b.id)
	select {
	case <-time.After(min(b.work, limit)):
	case <-r.Context().Done():
		return
	}
	if b.work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	fmt.Fprintf(w, "%s of %s for %s, %d bytes", b.service, b.id, id, len(body))
}
