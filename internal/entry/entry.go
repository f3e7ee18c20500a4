// Package entry implements the HTTP interface for callers. It reads requests
// within limits, classifies them, passes them to a Dispatcher and reports each
// outcome.
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

// Result is the result of a dispatched request.
type Result struct {
	Outcome model.Outcome
	// Response is set if the outcome is "answered".
	Response *ledger.Response
	// Status, Detail and Event describe any other outcome. Status defaults to
	// 503 for "not-run" and 504 for "unknown". Detail is the name of the reason,
	// for example "no-intent"; the problem's type ends with it. Event is the
	// number of the log event that contains the reason.
	Status int
	Detail string
	Event  int
	// RetryAfter is sent to the caller if it is positive.
	RetryAfter time.Duration
}

// Request is a caller's request that is to be sent to an endpoint.
type Request struct {
	Service  model.Service
	Priority model.Priority
	// Repeatable means that the request is idempotent: it may run more than
	// once.
	Repeatable bool
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// Retries is the number of earlier attempts as counted by the caller. It is
	// 0 for the first attempt.
	Retries int
	// Arrived is when the request arrived, Deadline when its response becomes
	// useless to the caller.
	Arrived, Deadline time.Time
	// Method, Path (with the query), Header and Body are sent to the endpoint.
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Dispatcher sends a request to endpoints until it has an outcome or its deadline
// has passed. The context is canceled if the caller disconnects and the request
// is repeatable. The claim is nil if the request has no key or its method is GET,
// HEAD or OPTIONS. Otherwise the Dispatcher calls the claim's Intent before the
// first attempt. A request that is not repeatable and has no claim is sent at
// most once.
type Dispatcher interface {
	Do(ctx context.Context, r *Request, c Claim) Result
}

// Claim is the right to run a request under its key.
type Claim interface {
	// Intent records that the request is about to be sent. The request is
	// sent only if Intent returns nil.
	Intent(ctx context.Context) error
	// Finish records the outcome and the response, and returns the outcome to
	// report.
	Finish(o model.Outcome, r *ledger.Response) model.Outcome
}

// Ledger decides which requests with a key may run.
type Ledger interface {
	// Begin returns a claim, a recorded result, or a *ledger.Refusal.
	Begin(ctx context.Context, key string, fingerprint uint64) (Claim, *ledger.Result, error)
	// Lookup returns the outcome of a key, and closes the key if it has not
	// run.
	Lookup(ctx context.Context, key string) (*ledger.Result, error)
	// Prefix returns the prefix of keys for this instance.
	Prefix() string
}

// FromLedger adapts a ledger.Ledger to the Ledger interface.
func FromLedger(l *ledger.Ledger) Ledger { return ledgerAdapter{l} }

type ledgerAdapter struct{ *ledger.Ledger }

func (a ledgerAdapter) Begin(ctx context.Context, key string, fp uint64) (Claim, *ledger.Result, error) {
	c, res, err := a.Ledger.Begin(ctx, key, fp)
	if c == nil {
		return nil, res, err
	}
	return c, nil, nil
}

// Entry describes an instance to callers.
type Entry struct {
	ID        model.InstanceID `json:"id"`
	Addr      netip.AddrPort   `json:"addr"`
	Region    model.Region     `json:"region"`
	KeyPrefix string           `json:"key_prefix"`
}

// Directory lists the instances for a caller in order of preference.
type Directory interface {
	Entries(caller netip.Addr) []Entry
}

// Config configures a Handler.
type Config struct {
	Dispatcher Dispatcher
	Ledger     Ledger
	Classifier Classifier
	Directory  Directory
	Log        events.Logger
	// Ready reports whether the instance accepts requests; nil means always.
	// Until it returns true, requests are refused as not run.
	Ready func() bool
	// DefaultTimeout is the timeout of requests that specify none. Default 10 s.
	DefaultTimeout time.Duration
	// MaxTimeout limits the timeout of a request. If a response is lost, the
	// endpoint's slot stays occupied until the deadline, so long timeouts cost
	// capacity. Default 60 s.
	MaxTimeout time.Duration
	// MaxBodyBytes limits the size of a request body. Bodies are kept in memory
	// until the request is answered. The default and maximum is 1 MB.
	MaxBodyBytes int64
	// MaxInFlight limits the concurrent requests in the instance. Default 2000.
	MaxInFlight int
	// EntriesTTL is how long callers cache the list of instances. With a shorter
	// time they react sooner to changes and send more requests. Default 10 s.
	EntriesTTL time.Duration
	// BodyTimeout limits the time in which a caller sends its body, which
	// occupies memory during that time. The default, 5 s, allows 1 MB at
	// 1.6 Mbit/s.
	BodyTimeout time.Duration
}

const (
	// defaultMaxInFlight is several times the number of slots of an instance, so
	// that it limits memory and does not take effect before the queue limits.
	defaultMaxInFlight = 2000
	defaultTimeout     = 10 * time.Second
	defaultMaxTimeout  = 60 * time.Second
	defaultTTL         = 10 * time.Second
	servicesPath       = "/v1/services/"
	maxServiceBytes    = 64
	// maxHeaderBytes limits the header fields of a request.
	maxHeaderBytes = 16 << 10
	// serverHeaderBytes is the header limit of net/http. It is larger than
	// maxHeaderBytes because the response of net/http has no problem details.
	serverHeaderBytes = 64 << 10
	// maxBodyBytes limits a request body. The largest typical bodies, entry
	// files, are below 100 KB.
	maxBodyBytes = 1 << 20
	// maxBufferedBytes limits the total size of request bodies in memory to half
	// of the memory that a daemon may use.
	maxBufferedBytes   = 32 << 20
	defaultBodyTimeout = 5 * time.Second
	// maxDiscarded is the size up to which a body without use is read, so that the
	// connection can be used again, and discardTimeout the time limit for that.
	maxDiscarded   = 64 << 10
	discardTimeout = 200 * time.Millisecond
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	// writeTimeout limits the time in which a caller receives its response.
	writeTimeout = 30 * time.Second
	// closeTimeout limits the time to close the key of a request that is refused
	// before the ledger's Begin.
	closeTimeout  = time.Second
	lookupTimeout = time.Second
)

// Handler is the HTTP handler for callers.
type Handler struct {
	cfg      Config
	router   chi.Router
	buffered *semaphore.Weighted

	mu sync.Mutex
	// inFlight is the number of requests whose response is not yet written.
	inFlight int
	// refuseAfter is when the Handler starts to refuse new requests. It is zero
	// unless the Handler is draining.
	refuseAfter time.Time
	// idle is closed when no request is in flight. It is nil unless Wait is
	// running.
	idle chan struct{}
}

// New returns a Handler. It applies defaults to unset fields of cfg.
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
	h.router.Use(h.trackInFlight, h.recover)
	h.router.HandleFunc(servicesPath+"{service}", h.service)
	h.router.HandleFunc(servicesPath+"{service}/*", h.service)
	h.router.With(WithoutBody).Get("/v1/outcomes/{key}", h.outcome)
	h.router.With(WithoutBody).Get("/v1/entries", h.entries)
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

// NewServer returns an HTTP server with limits that protect the handler from slow
// and oversized requests.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               serverHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

// recover is middleware that responds to a request whose handler panicked. It
// aborts a response that has already begun, because it cannot be completed.
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

// trackingWriter records whether a response has begun.
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

// Unwrap is called by http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// refuse responds to a request that is refused before the ledger's Begin. If the
// request has a key, an earlier request may have run under it. The outcome
// "not-run" is therefore reported only after the ledger has closed the key.
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
	discardBody(w, r)
	p.write(w)
}

// closeKey closes a key and returns the outcome to report for a request that was
// not run.
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
