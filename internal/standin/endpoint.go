package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
)

// CrashPath is the path of requests that stop the endpoint as soon as it runs
// one.
const CrashPath = "/crash"

// maxEndpointBody limits the size of request bodies, in bytes.
const maxEndpointBody = 2 << 20

// EndpointConfig describes a stand-in endpoint.
type EndpointConfig struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Queue is the number of requests that may wait for a slot. Further requests
	// are refused with status 503 and Retry-After, before they run.
	Queue int
	// ServiceTime is how long a request takes to run.
	ServiceTime time.Duration
	// ColdFor is how long after the start of the endpoint requests take twice
	// as long.
	ColdFor time.Duration
	// Gauge counts the requests in flight in a group of endpoints. May be nil.
	Gauge *Gauge
}

// Gauge counts the requests in flight, running or queued, in a group of
// endpoints.
type Gauge struct {
	mu            sync.Mutex
	current, peak int
}

func (g *Gauge) add(d int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current += d
	g.peak = max(g.peak, g.current)
}

// Max returns the largest number of requests in flight so far.
func (g *Gauge) Max() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// Endpoint is a stand-in for an endpoint, served over HTTP. It uses nothing of
// the system under test.
type Endpoint struct {
	cfg       EndpointConfig
	ln        net.Listener
	srv       *http.Server
	startTime time.Time
	slots     chan struct{}

	mu          sync.Mutex
	inFlight    int
	maxInFlight int
	runs        map[string]int
	totalRuns   int
	paused      chan struct{}
	crashed     bool
}

// StartEndpoint starts an endpoint that listens on addr ("127.0.0.1:0" for any
// free port).
func StartEndpoint(addr string, cfg EndpointConfig) (*Endpoint, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &Endpoint{
		cfg: cfg, ln: ln, startTime: time.Now(),
		slots: make(chan struct{}, cfg.Slots),
		runs:  make(map[string]int),
	}
	e.srv = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

// Addr returns the address on which the endpoint listens.
func (e *Endpoint) Addr() netip.AddrPort {
	return e.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the listener and all connections, as a crash does.
func (e *Endpoint) Stop() {
	_ = e.srv.Close()
}

// Pause makes requests wait until the returned function is called, as when the
// process is stopped.
func (e *Endpoint) Pause() (resume func()) {
	ch := make(chan struct{})
	e.mu.Lock()
	e.paused = ch
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.paused = nil
		e.mu.Unlock()
		close(ch)
	}
}

// WorkHeader is the header with the id of a caller's request. The id is the same
// for all attempts of the request, also when they have different idempotency
// keys. Callers in tests set it, so that runs can be counted; the system forwards
// it like any other header.
const WorkHeader = "X-Work-Id"

// Runs returns how often each request has started to run, by the id in
// WorkHeader.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, n := range e.runs {
		out[k] = n
	}
	return out
}

// Crashed reports whether a request with CrashPath has stopped the endpoint.
func (e *Endpoint) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// TotalRuns returns how many requests have started to run, also without
// WorkHeader.
func (e *Endpoint) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalRuns
}

// MaxConcurrent returns the largest number of requests, running or queued, that
// the endpoint held at the same time.
func (e *Endpoint) MaxConcurrent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxInFlight
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEndpointBody))
	if err != nil {
		http.Error(w, "request body cannot be read or is too large", http.StatusBadRequest)
		return
	}
	if !e.admit() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer e.finish()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.runRequest(w, r, body)
}

// admit counts the request as in flight. It reports false if the queue is full.
func (e *Endpoint) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight >= e.cfg.Slots+e.cfg.Queue {
		return false
	}
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	e.cfg.Gauge.add(1)
	return true
}

func (e *Endpoint) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.cfg.Gauge.add(-1)
}

func (e *Endpoint) runRequest(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(WorkHeader)
	e.mu.Lock()
	e.totalRuns++
	if id != "" {
		e.runs[id]++
	}
	paused := e.paused
	utilization := float64(e.inFlight) / float64(e.cfg.Slots)
	e.mu.Unlock()
	if r.URL.Path == CrashPath {
		e.mu.Lock()
		e.crashed = true
		e.mu.Unlock()
		go e.Stop()
		panic(http.ErrAbortHandler)
	}
	if paused != nil {
		<-paused
	}
	if !sleep(r, e.serviceTime()) {
		return
	}
	w.Header().Set("endpoint-load-metrics", fmt.Sprintf("TEXT application_utilization=%.3f", utilization))
	w.Header().Set(WorkHeader, id)
	w.Header().Set("X-Echo-Traceparent", r.Header.Get("Traceparent"))
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func (e *Endpoint) serviceTime() time.Duration {
	if time.Since(e.startTime) < e.cfg.ColdFor {
		return 2 * e.cfg.ServiceTime
	}
	return e.cfg.ServiceTime
}

// sleep waits for d. It reports false if the request is cancelled first.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
