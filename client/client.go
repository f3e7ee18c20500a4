// Package client is for the callers of jujubestile. It chooses an entry
// instance, makes idempotency keys, and sends a request again only when that
// cannot run it twice. It uses only the standard library.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Config describes a Client. Only Bootstrap is required.
type Config struct {
	// Bootstrap lists entry instances as HOST:PORT. Any of them tells which
	// ones to use.
	Bootstrap []string
	// CallerAddr is the address by which the system chooses near instances.
	// By default it is that of the connection.
	CallerAddr string
	// Timeout is the time to the deadline of requests whose context has none.
	// Default 10 s.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one request, besides those that could
	// not connect. Default 4.
	MaxAttempts int
	// RetryRatio is the retries allowed for each request. Default 0.1.
	RetryRatio float64
}

const (
	defaultTimeout     = 10 * time.Second
	defaultMaxAttempts = 4
	defaultRetryRatio  = 0.1
	connectTimeout     = 500 * time.Millisecond
	idleTimeout        = 30 * time.Second
	maxIdlePerInstance = 8
	// maxResponseBytes is the system's own bound on responses, and room for
	// the base64 form in an outcome report.
	maxResponseBytes = 12 << 20
	// maxConnectFailures bounds the instances that are tried for a connection.
	maxConnectFailures = 8
)

// Request is one piece of work.
type Request struct {
	Service string
	Method  string
	// Path is the path at the service with the query, for example "/a?b=1".
	Path   string
	Header http.Header
	Body   []byte
	// Urgency is the RFC 9218 urgency, from "0" to "7". It can only lower the
	// priority that the operators' rules give. Empty means by the rules.
	Urgency string
	// Repeatable means that running the request twice does no harm. GET, HEAD
	// and OPTIONS always are.
	Repeatable bool
	// Key is an own idempotency key. It is kept over all attempts. Empty, the
	// client makes keys that need no store.
	Key string
}

func (r *Request) repeatable() bool {
	return r.Repeatable || r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

// Response is the whole response of the endpoint that ran the request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts is how often the request was sent.
	Attempts int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg       Config
	http      *http.Transport
	directory *directory
	budget    *budget
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.RetryRatio == 0 {
		cfg.RetryRatio = defaultRetryRatio
	}
	c := &Client{cfg: cfg, budget: newBudget(cfg.RetryRatio)}
	c.http = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerInstance,
		IdleConnTimeout:     idleTimeout,
	}
	c.directory = newDirectory(cfg, c.exchange)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do runs a request within the context's deadline. Without a response it
// returns a *NotRunError, an *UnknownError or a *ResponseGoneError.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
	}
	c.budget.earn()
	w := &work{c: c, req: &r}
	return w.run(ctx)
}

// reply is a response of an instance, with what is known of the connection.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r *reply) outcome() string { return r.header.Get("Jujubestile-Outcome") }

// exchangeError is a failed exchange. Without sent nothing left this process.
type exchangeError struct {
	sent bool
	err  error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// onceBody keeps net/http from repeating the request on another connection,
// which it does for some methods and whenever there is an Idempotency-Key.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

// exchange sends one request to an instance and reads the whole response.
func (c *Client) exchange(ctx context.Context, addr, method, path string, header http.Header, body []byte) (*reply, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+addr+path, nil)
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	if header != nil {
		req.Header = header
	}
	if deadline, ok := ctx.Deadline(); ok && req.Header.Get("Grpc-Timeout") == "" {
		req.Header.Set("Grpc-Timeout", grpcTimeout(time.Until(deadline)))
	}
	req.Body, req.ContentLength = onceBody{bytes.NewReader(body)}, int64(len(body))
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return nil, &exchangeError{sent.Load(), err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("response over %d bytes", maxResponseBytes)
	}
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &exchangeError{true, err}
	}
	return &reply{resp.StatusCode, resp.Header, data}, nil
}

// grpcTimeout writes a Grpc-Timeout value in milliseconds.
func grpcTimeout(d time.Duration) string {
	return strconv.FormatInt(min(max(d.Milliseconds(), 0), 99_999_999), 10) + "m"
}

// servicePath returns the path of a request at an instance.
func servicePath(r *Request) string {
	return "/v1/services/" + url.PathEscape(r.Service) + "/" + strings.TrimPrefix(r.Path, "/")
}

// headers returns the fields of one attempt. The deadline of the work is
// passed on, which may be later than that of the attempt.
func headers(ctx context.Context, r *Request, key string, attempt int) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if r.Urgency != "" {
		h.Set("Priority", "u="+r.Urgency)
	}
	if key != "" {
		h.Set("Idempotency-Key", `"`+key+`"`)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set("Grpc-Timeout", grpcTimeout(time.Until(deadline)))
	}
	h.Set("Jujubestile-Attempt", strconv.Itoa(attempt))
	return h
}

// newKey returns a key for an instance. The random part has over 128 bits.
func newKey(prefix string) string { return prefix + rand.Text() }

// withoutAddr returns entries with the one at addr moved to the end.
func withoutAddr(entries []Entry, addr string) []Entry {
	out := slices.Clone(entries)
	slices.SortStableFunc(out, func(a, b Entry) int {
		return boolInt(a.Addr == addr) - boolInt(b.Addr == addr)
	})
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
