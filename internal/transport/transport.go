// Package transport sends requests to endpoints over HTTP/1.1 and returns
// whole responses.
//
// Work that may not be repeated uses a new connection for each request. A new
// connection has not gone silent, and net/http repeats requests only on reused
// connections. Repeatable work uses pooled connections; a connection without a
// sign of life closes the endpoint's pool.
//
// A request reaches an endpoint at most once for each call of Send.
package transport

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

// Config bounds the exchanges with endpoints. Zero values mean the defaults.
type Config struct {
	// ConnectTimeout bounds the wait for a new connection. Default 500 ms: two
	// regions are at most 35 ms apart, and a lost SYN is repeated after 200 ms
	// to 1 s. A longer wait delays the choice of another endpoint.
	ConnectTimeout time.Duration
	// SilenceTimeout bounds the wait for the response header of repeatable
	// work, and for each further part of its body. At most half of the time to
	// the deadline is used, so that another endpoint can be tried. Default 2 s.
	// A shorter time closes pools when an endpoint is only slow.
	SilenceTimeout time.Duration
	// IdleTimeout closes pooled connections before endpoints do, which would
	// interrupt a request sent at that moment. Default 3 s.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections for each endpoint. Default 4.
	MaxIdle int
}

const (
	defaultConnectTimeout = 500 * time.Millisecond
	defaultSilenceTimeout = 2 * time.Second
	defaultIdleTimeout    = 3 * time.Second
	defaultMaxIdle        = 4

	// MaxResponseBytes bounds a response body, which is held in memory until
	// it is complete. Archives deliver lists of a few MB.
	MaxResponseBytes = 8 << 20
	// MaxRequestBytes bounds a request body.
	MaxRequestBytes        = 1 << 20
	maxResponseHeaderBytes = 64 << 10

	// RequestHeader carries an identifier of the exchange. HTTP/1.1 matches
	// responses to requests only by their order on a connection. An endpoint
	// that repeats the field in its response lets a response be noticed that
	// belongs to an earlier request on a pooled connection.
	RequestHeader = "Jujubestile-Request"
)

// Transport implements dispatch.Transport.
type Transport struct {
	cfg   Config
	fresh *http.Transport
	pools *pools
}

var _ dispatch.Transport = (*Transport)(nil)

// New returns a Transport. Close ends its connections.
func New(cfg Config) *Transport {
	setDefault(&cfg.ConnectTimeout, defaultConnectTimeout)
	setDefault(&cfg.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	setDefault(&cfg.MaxIdle, defaultMaxIdle)
	t := &Transport{cfg: cfg, fresh: newHTTPTransport(cfg)}
	t.fresh.DisableKeepAlives = true
	t.pools = newPools(func() *http.Transport { return newHTTPTransport(cfg) })
	return t
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func newHTTPTransport(cfg Config) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: cfg.ConnectTimeout}).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    cfg.MaxIdle,
		IdleConnTimeout:        cfg.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes idle connections.
func (t *Transport) Close() {
	t.fresh.CloseIdleConnections()
	t.pools.closeAll()
}

// Error is an error of Send. It matches one of the errors of
// dispatch.Transport.
type Error struct {
	Kind error
	// Cause says what happened.
	Cause error
	// Reused means that a pooled connection had served other requests before.
	// An end without a response then often is an idle connection that the
	// endpoint closed, which says nothing about its health.
	Reused bool
	// Silent means that the endpoint accepted the request and sent nothing.
	Silent bool
	// Broken means that the endpoint ended the connection before its response
	// was complete, as it does when it crashes.
	Broken bool
	// Mismatch means that the response belongs to another request.
	Mismatch bool
	// RetryAfter is the endpoint's wish if Kind is ErrRefused.
	RetryAfter time.Duration
}

func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap makes errors.Is find Kind, Cause and dispatch.ErrBroken. The end of a
// reused connection may just be that of an idle one and counts as no break.
func (e *Error) Unwrap() []error {
	if e.Broken && !e.Reused {
		return []error{e.Kind, e.Cause, dispatch.ErrBroken}
	}
	return []error{e.Kind, e.Cause}
}

const (
	errTooLarge   = errors.ConstError("body over the limit")
	errNoEnd      = errors.ConstError("response without a length, which may be cut off")
	errSilent     = errors.ConstError("no sign of life on the connection")
	errSwitching  = errors.ConstError("endpoint switched protocols")
	errMismatch   = errors.ConstError("response to another request")
	errStatus     = errors.ConstError("status outside 200 to 599")
	errOverloaded = errors.ConstError("status 503 with Retry-After")
)

// exchange is the state of one Send.
type exchange struct {
	req     *dispatch.Request
	id      string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
	// gotConn and reused are set by net/http's trace, possibly in another
	// goroutine.
	gotConn, reused atomic.Bool
}

// Send implements dispatch.Transport. Its errors are of type *Error.
func (t *Transport) Send(ctx context.Context, to model.Endpoint, r *dispatch.Request) (*dispatch.Response, error) {
	if len(r.Body) > MaxRequestBytes {
		return nil, &Error{Kind: dispatch.ErrNotSent, Cause: errTooLarge}
	}
	x := t.newExchange(ctx, r)
	defer x.end()
	req, err := x.request(to)
	if err != nil {
		return nil, &Error{Kind: dispatch.ErrNotSent, Cause: err}
	}
	carrier := t.fresh
	if r.Repeatable {
		carrier = t.pools.get(to)
	}
	resp, err := x.roundTrip(carrier, req)
	var e *Error
	if r.Repeatable && errors.As(err, &e) && (e.Silent || e.Mismatch) {
		t.pools.drop(to.ID, carrier)
	}
	return resp, err
}

func (t *Transport) newExchange(ctx context.Context, r *dispatch.Request) *exchange {
	x := &exchange{req: r, id: rand.Text()}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	if r.Repeatable {
		x.silence = t.cfg.SilenceTimeout
		if deadline, ok := ctx.Deadline(); ok {
			x.silence = min(x.silence, time.Until(deadline)/2)
		}
		x.timer = time.AfterFunc(x.silence, func() { x.cancel(errSilent) })
	}
	return x
}

// alive notes a sign of life.
func (x *exchange) alive() {
	if x.timer != nil {
		x.timer.Reset(x.silence)
	}
}

func (x *exchange) end() {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.cancel(nil)
}

// onceBody is a body that net/http cannot rewind, so that it never repeats the
// request on another connection, not even one without content or with an
// Idempotency-Key.
type onceBody struct{ r *bytes.Reader }

func (b onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b onceBody) Close() error               { return nil }

func (x *exchange) request(to model.Endpoint) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		x.gotConn.Store(true)
		x.reused.Store(i.Reused)
	}}
	ctx := httptrace.WithClientTrace(x.ctx, trace)
	path := x.req.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req, err := http.NewRequestWithContext(ctx, x.req.Method, "http://"+to.Addr.String()+path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header = Forwarded(x.req.Header)
	req.Header.Del("Content-Length")
	req.Header.Del("Expect")
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	if deadline, ok := x.ctx.Deadline(); ok {
		req.Header.Set(model.TimeoutHeader, model.FormatTimeout(time.Until(deadline)))
	}
	req.Header.Set(RequestHeader, x.id)
	req.Body = onceBody{bytes.NewReader(x.req.Body)}
	req.ContentLength = int64(len(x.req.Body))
	return req, nil
}

func (x *exchange) roundTrip(carrier *http.Transport, req *http.Request) (*dispatch.Response, error) {
	resp, err := carrier.RoundTrip(req)
	if err != nil {
		return nil, x.failed(err)
	}
	defer resp.Body.Close()
	x.alive()
	if id := resp.Header.Get(RequestHeader); id != "" && id != x.id {
		return nil, &Error{Kind: dispatch.ErrInterrupted, Cause: errMismatch, Reused: x.reused.Load(), Mismatch: true}
	}
	if after, ok := RetryAfter(resp.Header, time.Now()); ok && resp.StatusCode == http.StatusServiceUnavailable {
		refusal := &dispatch.Response{Status: resp.StatusCode, Header: Forwarded(resp.Header)}
		return refusal, &Error{Kind: dispatch.ErrRefused, Cause: errOverloaded, RetryAfter: after}
	}
	body, err := x.readBody(resp)
	if err != nil {
		return nil, x.failed(err)
	}
	header := Forwarded(resp.Header)
	header.Del(RequestHeader)
	return &dispatch.Response{Status: resp.StatusCode, Header: header, Body: body}, nil
}

// failed classifies an error. Nothing was sent if no connection was had.
func (x *exchange) failed(err error) error {
	e := &Error{Kind: dispatch.ErrInterrupted, Cause: err, Reused: x.reused.Load()}
	if cause := context.Cause(x.ctx); cause != nil {
		e.Cause = cause
	}
	if !x.gotConn.Load() {
		e.Kind = dispatch.ErrNotSent
		return e
	}
	e.Silent = errors.Is(e.Cause, errSilent)
	e.Broken = context.Cause(x.ctx) == nil && broken(err)
	return e
}

func broken(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	// net/http does not export this error of a reused connection.
	return strings.Contains(err.Error(), "server closed idle connection")
}

// readBody reads the whole body. A response that ends with its connection has
// no proven end and is an error.
func (x *exchange) readBody(resp *http.Response) ([]byte, error) {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, errSwitching
	case resp.StatusCode < 200 || resp.StatusCode > 599:
		return nil, errStatus
	case bodyless(x.req.Method, resp.StatusCode):
		return nil, nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return nil, errNoEnd
	case resp.ContentLength > MaxResponseBytes:
		return nil, errTooLarge
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	body := io.LimitReader(&progressReader{resp.Body, x}, MaxResponseBytes+1)
	if _, err := buf.ReadFrom(body); err != nil {
		return nil, errors.Trace(err)
	}
	if buf.Len() > MaxResponseBytes {
		return nil, errTooLarge
	}
	return buf.Bytes(), nil
}

// bodyless reports whether a response has no body by RFC 9112 section 6.3.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

type progressReader struct {
	r io.Reader
	x *exchange
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.x.alive()
	}
	return n, err
}
