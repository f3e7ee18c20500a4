// Package forward serves the requests of callers: it finds the route of the
// desired state, sends the request to an endpoint that steering chooses, sends
// it once more where that is safe, and tells the caller honestly how it ended.
//
// The Engine makes the attempts. The Handler is the interface of callers on
// the users' platform; package entry is that of the product's own deployment.
package forward

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
)

// CallerFields are what the header of a caller's request says.
type CallerFields struct {
	// ID is the request's ID, one for each attempt of the caller.
	ID string
	// Object names what the request concerns.
	Object string
	// Timeout is how long the caller waits, if HasWait is set.
	Timeout    time.Duration
	HasTimeout bool
}

// CallerProtocol reads the header fields of callers.
type CallerProtocol interface {
	Read(http.Header) CallerFields
}

// Config holds what a Handler needs.
type Config struct {
	EngineConfig
	Protocol CallerProtocol
}

// Handler serves the requests of callers.
type Handler struct {
	*Engine
	protocol CallerProtocol
	inFlight atomic.Int64
	// closing makes callers use other connections; refusing takes no new
	// requests.
	closing, refusing atomic.Bool
}

const (
	// defaultBody bounds a request body if the desired state has no limit.
	defaultBody = 1 << 20
	// defaultTimeout bounds requests of routes without a timeout whose callers
	// do not say how long they wait.
	defaultTimeout = 10 * time.Second
	// callerTrip is the time that a request and its answer take between the
	// caller and an instance: callers are about 8 ms away.
	callerTrip = 16 * time.Millisecond
)

// New returns a handler.
func New(cfg Config) *Handler {
	return &Handler{Engine: NewEngine(cfg.EngineConfig), protocol: cfg.Protocol}
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// CloseConnections makes callers open new connections after their answers.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// Refuse makes the handler take no new requests.
func (h *Handler) Refuse() { h.refusing.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	fields := h.protocol.Read(r.Header)
	req := &Request{ID: fields.ID, ObjectName: fields.Object, Arrived: time.Now(), CallerTimeout: fields.Timeout,
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header}
	if early := h.prepare(w, r, req, fields); early != nil {
		h.finish(w, req, *early)
		return
	}
	h.finish(w, req, h.Do(r.Context(), req))
}

// prepare finds the route and reads the body. It returns the answer to a
// request that goes no further.
func (h *Handler) prepare(w http.ResponseWriter, r *http.Request, req *Request, fields CallerFields) *Answer {
	if h.refusing.Load() {
		return refused("stopping", elsewhere)
	}
	state := h.cfg.State()
	if state == nil {
		return refused("no-desired-state", elsewhere)
	}
	req.Version = state.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req.Route = state.Match(r.Host, path)
	if req.Route == nil {
		return denied(http.StatusNotFound, "no-route")
	}
	h.setTimes(req, fields)
	limit := state.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return denied(http.StatusRequestEntityTooLarge, "body-over-limit")
	}
	if err != nil {
		return &Answer{CallerGone: true, Reason: "body-cut"}
	}
	req.Body = body
	if req.Route.Sticky && fields.Object != "" {
		req.Object = uint32(xxhash.Sum64String(req.Route.Name + "\x00" + fields.Object))
	}
	return nil
}

// setTimes derives the deadlines of a request from the caller's wait and the
// route.
func (h *Handler) setTimes(req *Request, fields CallerFields) {
	wait := defaultTimeout
	if req.Route.Timeout > 0 {
		wait = req.Route.Timeout
	}
	spent := time.Duration(0)
	if fields.HasTimeout {
		wait = min(wait, fields.Timeout)
		spent = h.patience.spent(req.Route.Name, fields.Timeout, req.Arrived)
	}
	req.Deadline = req.Arrived.Add(wait)
	req.SoftDeadline = req.Arrived.Add(req.Route.TargetLatency - spent - callerTrip)
}

// elsewhere is the Retry-After of an instance that takes no requests: another
// one can take them at once.
const elsewhere = 50 * time.Millisecond

// finish records the answer and sends it.
func (h *Handler) finish(w http.ResponseWriter, req *Request, a Answer) {
	h.Record(req, a, time.Since(req.Arrived))
	switch {
	case a.CallerGone:
		// Ends the connection without an answer.
		panic(http.ErrAbortHandler)
	case a.Response != nil:
		relay(w, a.Response)
	default:
		fail(w, a)
	}
}

// relay sends an endpoint's response unchanged.
func relay(w http.ResponseWriter, r *exchange.Result) {
	out := w.Header()
	for name, values := range exchange.EndToEnd(r.Header) {
		out[name] = values
	}
	if out.Get("Content-Length") == "" && bodyAllowed(r.Status) {
		out.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // A caller that has left cannot be told.
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// problem is an RFC 9457 problem details object.
type problem struct {
	Type    string        `json:"type"`
	Title   string        `json:"title"`
	Status  int           `json:"status"`
	Outcome model.Outcome `json:"outcome"`
}

const problemPrefix = "urn:jujubestile:problem:"

func fail(w http.ResponseWriter, a Answer) {
	p := problem{Type: problemPrefix + a.Reason, Title: http.StatusText(a.Status), Status: a.Status, Outcome: a.Outcome}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // A struct of strings and numbers can always be written.
	}
	head := w.Header()
	head.Set("Content-Type", "application/problem+json")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	if a.RetryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(body) // A caller that has left cannot be told.
}
