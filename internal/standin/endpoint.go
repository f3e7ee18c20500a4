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

// CrashPath makes an endpoint stop at once when it runs a request for it.
const CrashPath = "/crash"

// maxEndpointBody bounds the request body that an endpoint reads.
const maxEndpointBody = 2 << 20

// EndpointConfig describes a stand-in endpoint.
type EndpointConfig struct {
	// Slots is how many requests run at once.
	Slots int
	// Queue is how many more wait; beyond that requests are refused with
	// status 503 and Retry-After, before they run.
	Queue int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ColdFor is how long after the start requests take twice as long.
	ColdFor time.Duration
	// Gauge counts the requests that run in a group of endpoints. May be nil.
	Gauge *Gauge
}

// Gauge counts requests that run at the same time in a group of endpoints.
type Gauge struct {
	mu        sync.Mutex
	now, most int
}

func (g *Gauge) add(d int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += d
	g.most = max(g.most, g.now)
}

// Max returns the largest number of requests at once.
func (g *Gauge) Max() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

// Endpoint is a stand-in endpoint over HTTP. It knows nothing of the system.
type Endpoint struct {
	cfg     EndpointConfig
	ln      net.Listener
	srv     *http.Server
	started time.Time
	slots   chan struct{}

	mu      sync.Mutex
	waiting int
	most    int
	runs    map[string]int
	total   int
	frozen  chan struct{}
	crashed bool
}

// StartEndpoint listens on addr ("127.0.0.1:0" for any port) and serves.
func StartEndpoint(addr string, cfg EndpointConfig) (*Endpoint, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &Endpoint{
		cfg: cfg, ln: ln, started: time.Now(),
		slots: make(chan struct{}, cfg.Slots),
		runs:  make(map[string]int),
	}
	e.srv = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

// Addr is where the endpoint listens.
func (e *Endpoint) Addr() netip.AddrPort {
	return e.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the listener and all connections, as a crash does.
func (e *Endpoint) Stop() {
	_ = e.srv.Close()
}

// Pause makes requests wait until the returned function is called, as on a
// paused process.
func (e *Endpoint) Pause() (thaw func()) {
	ch := make(chan struct{})
	e.mu.Lock()
	e.frozen = ch
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.frozen = nil
		e.mu.Unlock()
		close(ch)
	}
}

// WorkHeader names a piece of work over all attempts and keys. Callers in tests
// set it, so that runs can be counted; the system passes it on like any other
// header.
const WorkHeader = "X-Work-Id"

// Runs returns a copy of how often each piece of work has started to run.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, n := range e.runs {
		out[k] = n
	}
	return out
}

// Crashed reports whether a request for CrashPath has stopped the endpoint.
func (e *Endpoint) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// TotalRuns returns how many requests have started to run.
func (e *Endpoint) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// MaxConcurrent returns the largest number of requests that were in the endpoint
// at the same time.
func (e *Endpoint) MaxConcurrent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.most
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEndpointBody))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if !e.enter() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.run(w, r, body)
}

// enter counts the request in, or refuses it when the queue is full.
func (e *Endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting >= e.cfg.Slots+e.cfg.Queue {
		return false
	}
	e.waiting++
	e.most = max(e.most, e.waiting)
	e.cfg.Gauge.add(1)
	return true
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.cfg.Gauge.add(-1)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, body []byte) {
	work := r.Header.Get(WorkHeader)
	e.mu.Lock()
	e.total++
	if work != "" {
		e.runs[work]++
	}
	frozen := e.frozen
	utilization := float64(e.waiting) / float64(e.cfg.Slots)
	e.mu.Unlock()
	if r.URL.Path == CrashPath {
		e.mu.Lock()
		e.crashed = true
		e.mu.Unlock()
		go e.Stop()
		panic(http.ErrAbortHandler)
	}
	if frozen != nil {
		<-frozen
	}
	if !sleep(r, e.serviceTime()) {
		return
	}
	w.Header().Set("endpoint-load-metrics", fmt.Sprintf("TEXT application_utilization=%.3f", utilization))
	w.Header().Set(WorkHeader, work)
	w.Header().Set("X-Echo-Traceparent", r.Header.Get("Traceparent"))
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func (e *Endpoint) serviceTime() time.Duration {
	if time.Since(e.started) < e.cfg.ColdFor {
		return 2 * e.cfg.ServiceTime
	}
	return e.cfg.ServiceTime
}

// sleep waits for d and reports false if the request was cancelled meanwhile.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
