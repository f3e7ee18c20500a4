// Package forward serves the requests of callers. It finds the route in the
// desired state, sends the request to an endpoint chosen by package steering,
// retries where that is safe, and reports to the caller whether the request
// may have been run.
//
// Engine makes the attempts. Handler is the HTTP interface of an instance on the
// users' platform (package serve); that of other instances (package daemon) is
// in package entry.
package forward

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
)

// CallerFields holds the header fields of a caller's request.
type CallerFields struct {
	// ID identifies the request. Each retry by the caller has a new one.
	ID string
	// Object names the object that the request concerns.
	Object string
	// Timeout is how long the caller waits for an answer, if HasTimeout is
	// set.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the hash of the caller's API key, if HasKey is set.
	Key    desired.KeyHash
	HasKey bool
}

// CallerProtocol parses the header fields of callers' requests.
type CallerProtocol interface {
	Read(http.Header) CallerFields
}

// Config configures a Handler.
type Config struct {
	EngineConfig
	Protocol CallerProtocol
	// Challenge is sent to callers without a valid API key, see RFC 9110, section
	// 11.6.1.
	Challenge string
}

// Handler serves the requests of callers.
type Handler struct {
	*Engine
	protocol  CallerProtocol
	challenge string
	inFlight  atomic.Int64
	// closing is set by CloseConnections, refusing by Refuse.
	closing, refusing atomic.Bool
}

const (
	// defaultMaxBody bounds the size of a request body if the desired state
	// sets no limit.
	defaultMaxBody = 1 << 20
	// defaultTimeout applies to requests of routes without a timeout whose
	// callers send none.
	defaultTimeout = 10 * time.Second
	// callerRTT is the round-trip time between a caller and an instance.
	// Callers are about 8 ms away.
	callerRTT = 16 * time.Millisecond
)

// New returns a handler.
func New(cfg Config) *Handler {
	return &Handler{Engine: NewEngine(cfg.EngineConfig), protocol: cfg.Protocol, challenge: cfg.Challenge}
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// CloseConnections makes the handler close each connection after the next
// answer, so that callers open new ones.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// Refuse makes the handler refuse new requests.
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
		Key: fields.Key, HasKey: fields.HasKey, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header}
	conn := connOf(r.Context())
	if conn == nil {
		conn = unguarded()
	}
	conn.setRequest(fields.ID)
	req.charge = conn.beginRequest(r.Header)
	defer req.charge.end()
	defer conn.endRequest()
	early := h.prepare(conn, w, r, req, fields)
	if early != nil {
		if req.Charged != nil {
			h.cfg.Quota.Refund(req.Charged)
		}
		h.finish(conn, w, req, *early)
		return
	}
	read := time.Now()
	conn.whole.Store(true)
	answer := h.Do(r.Context(), req)
	h.finish(conn, w, req, answer)
	if answer.Response != nil && answer.Response.Status < http.StatusInternalServerError && answer.LastPick != nil {
		// Failed requests and those whose callers leave end earlier than others.
		h.times.record(req.Route, answer.LastPick.Service, time.Since(read))
	}
}

// prepare finds the route and the tenant and reads the body. It returns an answer if the
// request cannot be executed.
func (h *Handler) prepare(conn *guardedConn, w http.ResponseWriter, r *http.Request, req *Request, fields CallerFields) *Answer {
	if refusal := h.admit(r, req, fields); refusal != nil {
		conn.drain(w, r)
		return refusal
	}
	limit := h.cfg.State().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if err := h.readBody(conn, r, req, limit); err != nil {
		return h.bodyFailed(conn, w, req, err)
	}
	if refusal := h.refuseUnfinishable(req, time.Now()); refusal != nil {
		return refusal // The body has taken too long.
	}
	if a := h.renewToken(r.Context(), req); a != nil {
		return a
	}
	if req.Route.Sticky && fields.Object != "" {
		req.Object = uint32(xxhash.Sum64String(req.Route.Name + "\x00" + fields.Object))
	}
	return nil
}

// bodyFailed returns the answer to a request whose body was not read.
func (h *Handler) bodyFailed(conn *guardedConn, w http.ResponseWriter, req *Request, err error) *Answer {
	switch {
	case errors.Is(err, errBodyTooLong):
		conn.closeUnread(w)
		conn.guard.closed(conn, bound.BodyTooLong)
		return rejected(http.StatusRequestEntityTooLarge, "body-over-limit")
	case errors.Is(err, errBodyRefused):
		conn.closeUnread(w)
		conn.guard.closed(conn, bound.BodyRefused)
		return refused("memory", memoryRetryAfter(req.Deadline))
	case errors.Is(err, os.ErrDeadlineExceeded):
		conn.guard.closed(conn, bound.BodyStalled)
	}
	return &Answer{CallerGone: true, Reason: "body-cut"}
}

// memoryRetryAfter returns the Retry-After of a request whose body found no memory: a
// random part of the time left, so that the bodies that wait do not return together.
func memoryRetryAfter(deadline time.Time) time.Duration {
	return max(otherInstanceRetryAfter, time.Duration((0.1+0.2*rand.Float64())*float64(time.Until(deadline))))
}

// admit finds the route and the tenant of a request, before its body is read. It returns
// a refusal if the request cannot be executed.
func (h *Handler) admit(r *http.Request, req *Request, fields CallerFields) *Answer {
	if h.refusing.Load() {
		return refused(reasonStopping, otherInstanceRetryAfter)
	}
	state := h.cfg.State()
	if state == nil {
		return refused("no-desired-state", otherInstanceRetryAfter)
	}
	req.Version = state.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req.Route = state.Match(r.Host, path)
	if req.Route == nil {
		return rejected(http.StatusNotFound, "no-route")
	}
	h.setTimes(req, fields)
	if refusal := h.refuseUnfinishable(req, req.Arrived); refusal != nil {
		return refusal
	}
	if refusal := h.refuseBehind(); refusal != nil {
		return refusal
	}
	if a := h.admitTenant(r.Context(), req); a != nil {
		return a
	}
	return nil
}

// setTimes derives the deadlines of a request from the timeouts of the caller
// and the route.
func (h *Handler) setTimes(req *Request, fields CallerFields) {
	wait := defaultTimeout
	if req.Route.Timeout > 0 {
		wait = req.Route.Timeout
	}
	spent := time.Duration(0)
	if fields.HasTimeout {
		wait = min(wait, fields.Timeout)
		spent = h.timeouts.spent(req.Route.Name, fields.Timeout, req.Arrived)
	}
	req.Deadline = req.Arrived.Add(wait)
	req.SoftDeadline = req.Arrived.Add(req.Route.TargetLatency - spent - callerRTT)
}

// otherInstanceRetryAfter is the Retry-After of a request that another
// instance can take immediately.
const otherInstanceRetryAfter = 50 * time.Millisecond

// finish records the answer and sends it.
func (h *Handler) finish(conn *guardedConn, w http.ResponseWriter, req *Request, a Answer) {
	h.Record(req, a, time.Since(req.Arrived))
	if conn.endsWithAnswer() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.CallerGone:
		// Closes the connection without an answer.
		conn.abort()
		panic(http.ErrAbortHandler)
	case a.Response != nil:
		n := int64(len(a.Response.Body))
		conn.beginAnswer(n)
		defer conn.endAnswer(n)
		writeResponse(w, a.Response)
	default:
		if a.Status == http.StatusUnauthorized && h.challenge != "" {
			w.Header().Set("WWW-Authenticate", h.challenge)
		}
		writeProblem(w, a)
	}
}

// writeResponse relays an endpoint's response unchanged.
func writeResponse(w http.ResponseWriter, r *exchange.Result) {
	out := w.Header()
	for name, values := range exchange.EndToEnd(r.Header) {
		out[name] = values
	}
	if out.Get("Content-Length") == "" && bodyAllowed(r.Status) {
		out.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // Prevents net/http from detecting one.
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // Fails only if the caller has disconnected.
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

// writeProblem sends a failure of this instance as a problem details object.
func writeProblem(w http.ResponseWriter, a Answer) {
	p := problem{Type: problemPrefix + a.Reason, Title: http.StatusText(a.Status), Status: a.Status, Outcome: a.Outcome}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // A struct of strings and numbers can always be encoded.
	}
	head := w.Header()
	head.Set("Content-Type", "application/problem+json")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	if a.RetryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(body) // Fails only if the caller has disconnected.
}
