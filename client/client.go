// Package client is the client library for callers of jujubestile. It selects an
// entry instance, generates idempotency keys, and retries a request only if that
// cannot make it run twice or if the request is repeatable. It uses only the
// standard library and a package of this module.
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

	"jujubestile.example/jujubestile/internal/httpstrict"
)

// Config describes a Client. Only Bootstrap is required.
type Config struct {
	// Bootstrap lists addresses of entry instances as HOST:PORT. Any of them
	// can provide the list of instances to use.
	Bootstrap []string
	// CallerAddr is the IP address for which the system selects nearby
	// instances. The default is the remote address of the connection.
	CallerAddr string
	// Timeout is the time limit of requests whose context has no deadline. The
	// default is 10 s.
	Timeout time.Duration
	// MaxAttempts limits the attempts of one request. Attempts that could not
	// connect are not counted. The default is 4.
	MaxAttempts int
	// RetryRatio is the number of retries allowed per request, averaged over
	// requests. The default is 0.1.
	RetryRatio float64
}

const (
	defaultTimeout     = 10 * time.Second
	defaultMaxAttempts = 4
	defaultRetryRatio  = 0.1
	connectTimeout     = 500 * time.Millisecond
	idleTimeout        = 30 * time.Second
	maxIdlePerInstance = 8
	// maxResponseBytes is the system's limit on a response body, 8 MB, plus the
	// overhead of base64 in an outcome report.
	maxResponseBytes = 12 << 20
	// maxHeadBytes bounds a response's status line and header fields.
	maxHeadBytes = 64 << 10
	// maxUnchargedFailures limits the attempts of one request that fail without
	// a charge to the retry budget, such as those that could not connect.
	maxUnchargedFailures = 8
)

// Request is a request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path and query at the service, for example "/a?b=1".
	Path   string
	Header http.Header
	Body   []byte
	// Urgency is the urgency parameter of the Priority field (RFC 9218), from
	// "0", the most urgent, to "7". It can only lower the priority that the
	// operators' rules assign. If empty, only the rules apply.
	Urgency string
	// Repeatable means that the request is idempotent: it may be sent again
	// even if it may have run. GET, HEAD and OPTIONS are always repeatable.
	Repeatable bool
	// Key is an idempotency key chosen by the caller, used for all attempts. If
	// empty, the client generates keys that work without the system's
	// key-value store.
	Key string
}

func (r *Request) repeatable() bool {
	return r.Repeatable || r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

// Response is the complete response of the endpoint that ran the request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts is the number of times the request was sent.
	Attempts int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	cfg       Config
	http      http.RoundTripper
	directory *directory
	budget    *budget
}

// New returns a Client with defaults for the fields that cfg leaves zero.
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
	c.http = httpstrict.Transport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerInstance,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
	c.directory = newDirectory(cfg, c.exchange)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { (&http.Client{Transport: c.http}).CloseIdleConnections() }

// Do sends a request and retries it if necessary, until the context's deadline.
// If there is no response, the error is a *NotRunError, an *UnknownError or a
// *ResponseGoneError.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
	}
	c.budget.deposit()
	pending := &call{client: c, req: &r}
	return pending.run(ctx)
}

// reply is a complete response from an instance.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r *reply) outcome() string { return r.header.Get("Jujubestile-Outcome") }

// exchangeError is a failed exchange. If sent is false, no part of the request
// was sent.
type exchangeError struct {
	sent bool
	err  error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// singleUseBody is a request body that net/http cannot rewind. This keeps
// net/http from resending a request on another connection, which it otherwise
// does for some methods and for every request with an Idempotency-Key.
type singleUseBody struct{ *bytes.Reader }

func (singleUseBody) Close() error { return nil }

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
	req.Body, req.ContentLength = singleUseBody{bytes.NewReader(body)}, int64(len(body))
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return nil, &exchangeError{sent.Load(), err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &exchangeError{true, err}
	}
	return &reply{resp.StatusCode, resp.Header, data}, nil
}

// grpcTimeout returns a Grpc-Timeout value in milliseconds.
func grpcTimeout(d time.Duration) string {
	return strconv.FormatInt(min(max(d.Milliseconds(), 0), 99_999_999), 10) + "m"
}

// servicePath returns the path of a request on an instance.
func servicePath(r *Request) string {
	return "/v1/services/" + url.PathEscape(r.Service) + "/" + strings.TrimPrefix(r.Path, "/")
}

// headers returns the header fields of one attempt. Grpc-Timeout carries the
// deadline of the request, which may be later than that of the attempt.
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

// newKey returns a new idempotency key with an instance's key prefix. The random
// part has more than 128 bits.
func newKey(prefix string) string { return prefix + rand.Text() }

// withAddrLast returns a copy of entries with the one at addr moved to the end.
func withAddrLast(entries []Entry, addr string) []Entry {
	out := slices.Clone(entries)
	slices.SortStableFunc(out, func(a, b Entry) int {
		return boolToInt(a.Addr == addr) - boolToInt(b.Addr == addr)
	})
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
