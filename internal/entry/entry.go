// Package entry serves callers by HTTP: it reads and bounds their requests,
// classifies them, and reports each outcome.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
)

// Result is what became of a dispatched request.
type Result struct {
	Outcome model.Outcome
	// Response is set if the outcome is answered.
	Response *ledger.Response
	// Status, Detail and Event describe any other outcome. Status defaults to
	// 503 for not-run and 504 for unknown.
	Status     int
	Detail     string
	Event      int
	RetryAfter time.Duration
}

// Request is one request of a caller on its way to an endpoint.
type Request struct {
	Service  model.Service
	Priority model.Priority
	// Repeatable means that running the request twice does no harm.
	Repeatable bool
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// Retries is the caller's own count of repetitions, 0 for the first try.
	Retries int
	// Arrived is when the request came, Deadline when its answer is of no use
	// any more.
	Arrived, Deadline time.Time
	// Method, Path (with the query), Header and Body are what the endpoint
	// gets.
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Dispatcher takes a request to its outcome until its deadline. The context ends
// if the caller leaves and the work may end with it. The claim is nil without a
// key and for GET, HEAD and OPTIONS. With a claim its Intent precedes the first
// attempt. Work that is not repeatable and has no claim is sent at most once.
type Dispatcher interface {
	Do(ctx context.Context, r *Request, c Claim) Result
}

// Claim is the right to run a key. Finish returns the outcome to report.
type Claim interface {
	// Intent records that the request is about to be sent. The request is
	// sent only if Intent returns nil.
	Intent(ctx context.Context) error
	Finish(o model.Outcome, r *ledger.Response) model.Outcome
}

// Ledger decides which requests may run under their keys.
type Ledger interface {
	// Begin returns a claim, a recorded result, or a *ledger.Refusal.
	Begin(ctx context.Context, key string, fingerprint uint64) (Claim, *ledger.Result, error)
	// Lookup tells what became of a key and closes it if it has not run.
	Lookup(ctx context.Context, key string) (*ledger.Result, error)
	// Prefix starts the keys for this instance.
	Prefix() string
}

// FromLedger adapts a ledger.Ledger.
func FromLedger(l *ledger.Ledger) Ledger { return adapter{l} }

type adapter struct{ *ledger.Ledger }

func (a adapter) Begin(ctx context.Context, key string, fp uint64) (Claim, *ledger.Result, error) {
	c, res, err := a.Ledger.Begin(ctx, key, fp)
	if c == nil {
		return nil, res, err
	}
	return c, nil, nil
}

// Entry is an entry instance as callers see it.
type Entry struct {
	ID        model.InstanceID `json:"id"`
	Addr      netip.AddrPort   `json:"addr"`
	Region    model.Region     `json:"region"`
	KeyPrefix string           `json:"key_prefix"`
}

// Directory lists the instances for a caller, the best first.
type Directory interface {
	Entries(caller netip.Addr) []Entry
}

// Config describes a Handler.
type Config struct {
	Dispatcher Dispatcher
	Ledger     Ledger
	Classifier Classifier
	Directory  Directory
	Log        events.Logger
	// Ready reports whether the instance takes work; nil means always. Before
	// that requests are refused as not run.
	Ready func() bool
	// DefaultTimeout is the time to the deadline of requests that state none.
	// Default 10 s.
	DefaultTimeout time.Duration
	// MaxTimeout bounds the time to the deadline. Slots are held until then if
	// a response is lost, so that long deadlines cost capacity. Default 60 s.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds a request body, at most 1 MB, which is also the
	// default. Bodies are in memory until the request is answered.
	MaxBodyBytes int64
	// MaxInFlight bounds the requests in the instance at once. Default 2000.
	MaxInFlight int
	// EntriesTTL is how long callers keep the list of instances. A shorter
	// time moves them sooner and costs more requests. Default 10 s.
	EntriesTTL time.Duration
	// BodyTimeout bounds the time in which a caller sends its body, which
	// occupies memory meanwhile. Default 5 s: 1 MB at 1.6 Mbit/s.
	BodyTimeout time.Duration
}

const (
	// defaultMaxInFlight is several times what an instance has slots for, so
	// that it bounds memory and not the queues.
	defaultMaxInFlight = 2000
	defaultTimeout     = 10 * time.Second
	defaultMaxTimeout  = 60 * time.Second
	defaultTTL         = 10 * time.Second
	servicesPath       = "/v1/services/"
	maxServiceBytes    = 64
	// maxHeaderBytes bounds the header fields of a request.
	maxHeaderBytes = 16 << 10
	// serverHeaderBytes is the bound of net/http, whose own response has no
	// problem details. It is larger, so that most refusals have them.
	serverHeaderBytes = 64 << 10
	// maxBodyBytes bounds a request body. Entry files are below 100 KB.
	maxBodyBytes = 1 << 20
	// maxBufferedBytes bounds all request bodies in memory, half of what a
	// daemon may use.
	maxBufferedBytes   = 32 << 20
	defaultBodyTimeout = 5 * time.Second
	headerTimeout      = 5 * time.Second
	idleTimeout        = time.Minute
	// writeTimeout bounds the time in which a caller takes its response.
	writeTimeout = 30 * time.Second
	// closeTimeout bounds the question whether a key may be reported as not
	// run when its request is refused early.
	closeTimeout  = time.Second
	lookupTimeout = time.Second
)

// Handler serves callers.
type Handler struct {
	cfg      Config
	router   chi.Router
	buffered *semaphore.Weighted

	mu sync.Mutex
	// inFlight counts requests until their response is written.
	inFlight int
	// refuseAfter is when new work is refused. It is zero unless draining.
	refuseAfter time.Time
	// idle is closed when no request is in flight. It is nil unless someone
	// waits.
	idle chan struct{}
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.MaxBodyBytes <= 0 || cfg.MaxBodyBytes > maxBodyBytes {
		cfg.MaxBodyBytes = maxBodyBytes
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	setDefault(&cfg.DefaultTimeout, defaultTimeout)
	setDefault(&cfg.MaxTimeout, defaultMaxTimeout)
	setDefault(&cfg.EntriesTTL, defaultTTL)
	setDefault(&cfg.BodyTimeout, defaultBodyTimeout)
	h := &Handler{cfg: cfg, router: chi.NewRouter(), buffered: semaphore.NewWeighted(maxBufferedBytes)}
	h.router.Use(h.count, h.recover)
	h.router.HandleFunc(servicesPath+"{service}", h.service)
	h.router.HandleFunc(servicesPath+"{service}/*", h.service)
	h.router.Get("/v1/outcomes/{key}", h.outcome)
	h.router.Get("/v1/entries", h.entries)
	h.router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, newProblem(http.StatusNotFound, "no-such-path", "No such path", ""))
	})
	h.router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, newProblem(http.StatusMethodNotAllowed, "method", "Method not allowed", ""))
	})
	return h
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// NewServer returns an HTTP server with the bounds that protect the handler
// from slow and oversized requests.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               serverHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// recover answers a panic of a handler. A response that has begun cannot be
// completed and is aborted.
func (h *Handler) recover(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackingWriter{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler || tracked.began {
				panic(http.ErrAbortHandler)
			}
			h.cfg.Log.Log(events.HandlerPanic).Interface("panic", v).Str("path", r.URL.Path).Bytes("stack", debug.Stack()).Send()
			newProblem(http.StatusInternalServerError, "internal", "Internal error", model.OutcomeUnknown).write(w)
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackingWriter notes whether a response has begun.
type trackingWriter struct {
	http.ResponseWriter
	began bool
}

func (w *trackingWriter) WriteHeader(status int) {
	w.began = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *trackingWriter) Write(p []byte) (int, error) {
	w.began = true
	return w.ResponseWriter.Write(p)
}

// Unwrap serves http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// refuse answers a request that is refused before the ledger is asked. If it
// has a key, an earlier request may have run under it: not-run is reported
// only after the ledger has closed the key.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, p *Problem) {
	p.Outcome = model.OutcomeNotRun
	key, err := parseKey(r.Header)
	switch {
	case err != nil:
		p.Outcome = model.OutcomeUnknown
	case key != "" && !repeatableMethod(r.Method):
		p.Outcome = h.closeKey(r.Context(), key)
	}
	p.KeyPrefix = h.cfg.Ledger.Prefix()
	p.write(w)
}

func (h *Handler) closeKey(ctx context.Context, key string) model.Outcome {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	res, err := h.cfg.Ledger.Lookup(ctx, key)
	var refusal *ledger.Refusal
	switch {
	case err == nil && res.Outcome == model.OutcomeNotRun:
		return model.OutcomeNotRun
	case errors.As(err, &refusal):
		return refusal.Outcome
	}
	return model.OutcomeUnknown
}
