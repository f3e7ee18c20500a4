package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// problem is a problem details object (RFC 9457) from an instance.
type problem struct {
	Type           string  `json:"type"`
	Title          string  `json:"title"`
	Detail         string  `json:"detail"`
	KeyPrefix      string  `json:"key_prefix"`
	Event          int     `json:"event"`
	RecordedStatus int     `json:"recorded_status"`
	Entries        []Entry `json:"entries"`
}

const (
	problemContentType = "application/problem+json"
	typeNoIntent       = "urn:jujubestile:problem:no-intent"
	typeResponseGone   = "urn:jujubestile:problem:response-gone"
	typeUnboundKey     = "urn:jujubestile:problem:unbound"
	maxOutcomeQueries  = 6
	outcomeAnswered    = "answered"
	outcomeNotRun      = "not-run"
	reasonRunning      = "running"
	clientErrorStatus  = 400
	serverErrorStatus  = 500
)

// call is the state of one request over its attempts.
type call struct {
	client            *Client
	req               *Request
	attempts          int
	unchargedFailures int
	// notRunErr is the reason of the last attempt that did not run.
	notRunErr NotRunError
	// mayHaveRun is set once an attempt of a repeatable request had an unknown outcome.
	mayHaveRun bool
	// lastAddr is the address of the instance of the last attempt.
	lastAddr string
}

// attemptResult is the result of an attempt: a response, an error, or an error
// after which the request may be sent again.
type attemptResult struct {
	resp *Response
	err  error
	// retry means that another attempt is safe.
	retry bool
	// uncharged means that the retry is not charged to the retry budget: the
	// attempt could not connect, reached an instance that is about to stop, or
	// needs another key.
	uncharged bool
	// delay is the minimum wait before the retry.
	delay time.Duration
}

func (c *call) run(ctx context.Context) (*Response, error) {
	for {
		res := c.attempt(ctx)
		if !res.retry {
			return res.resp, res.err
		}
		if !c.waitForRetry(ctx, res) {
			return nil, c.finalError(res)
		}
	}
}

// waitForRetry waits before the next attempt. It returns false if no further
// attempt is allowed or the deadline comes first. Retries marked as uncharged
// put hardly any load on the system, so they have a limit of their own.
func (c *call) waitForRetry(ctx context.Context, res attemptResult) bool {
	if res.uncharged {
		c.unchargedFailures++
		return c.unchargedFailures < maxUnchargedFailures && backoff(ctx, c.unchargedFailures, 0)
	}
	if c.attempts >= c.client.cfg.MaxAttempts || !c.client.budget.withdraw() {
		return false
	}
	return backoff(ctx, c.attempts, res.delay)
}

// finalError returns the error of the result. If it has none, that is the last
// NotRunError, or an UnknownError if an earlier attempt may have run.
func (c *call) finalError(res attemptResult) error {
	if res.err != nil {
		return res.err
	}
	if c.mayHaveRun {
		return &UnknownError{Title: c.notRunErr.Title, Cause: c.notRunErr.Cause}
	}
	err := c.notRunErr
	return &err
}

func (c *call) attempt(ctx context.Context) attemptResult {
	entries, err := c.client.directory.list(ctx)
	if err != nil {
		return attemptResult{err: &NotRunError{Cause: err}}
	}
	entry := entries[0]
	if c.lastAddr != "" {
		entry = withAddrLast(entries, c.lastAddr)[0]
	}
	c.lastAddr = entry.Addr
	key := c.key(entry)
	c.attempts++
	attemptCtx, cancel := c.attemptContext(ctx)
	defer cancel()
	h := headers(ctx, c.req, key, c.attempts)
	r, err := c.client.exchange(attemptCtx, entry.Addr, c.req.Method, servicePath(c.req), h, c.req.Body)
	if err != nil {
		return c.onExchangeError(ctx, entry, key, err)
	}
	return c.onReply(ctx, entry, key, r)
}

// key returns the idempotency key of the next attempt. A generated key is used
// only once, because the outcome "not-run" closes it.
func (c *call) key(e Entry) string {
	if c.req.repeatable() || c.req.Key != "" {
		return c.req.Key
	}
	return newKey(e.KeyPrefix)
}

// attemptContext returns a context that ends after half of the remaining time,
// so that there is time to try another instance if this one does not respond.
func (c *call) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// onExchangeError handles an exchange that failed without a complete response.
func (c *call) onExchangeError(ctx context.Context, e Entry, key string, err error) attemptResult {
	c.client.directory.demote(e.Addr)
	var exErr *exchangeError
	if errors.As(err, &exErr) && !exErr.sent {
		c.notRunErr = NotRunError{Cause: err}
		c.attempts--
		return attemptResult{retry: ctx.Err() == nil, uncharged: true, err: c.finalError(attemptResult{})}
	}
	if c.req.repeatable() {
		c.mayHaveRun = true
		return attemptResult{retry: ctx.Err() == nil, err: &UnknownError{Cause: err}}
	}
	return c.resolveOutcome(ctx, e, key, &UnknownError{Key: key, Cause: err})
}

// onReply handles a complete response from an instance.
func (c *call) onReply(ctx context.Context, e Entry, key string, r *reply) attemptResult {
	p := parseProblem(r)
	if p != nil {
		c.client.directory.applyProblem(e.Addr, p)
	}
	switch r.outcome() {
	case outcomeAnswered:
		if p != nil && p.Type == typeResponseGone {
			return attemptResult{err: &ResponseGoneError{Status: p.RecordedStatus}}
		}
		return attemptResult{resp: &Response{Status: r.status, Header: r.header, Body: r.body, Attempts: c.attempts}}
	case outcomeNotRun:
		return c.onNotRun(r, p)
	}
	title := "status " + strconv.Itoa(r.status)
	if p != nil {
		title = p.Title
	}
	unknown := &UnknownError{Key: key, Title: title}
	if p != nil && p.Type == typeUnboundKey {
		// The key may be bound at another instance. The request is sent again
		// with the same key, which leads it there.
		return attemptResult{retry: true, err: unknown, delay: retryAfter(r.header)}
	}
	if c.req.repeatable() {
		c.mayHaveRun = true
		return attemptResult{retry: true, err: unknown}
	}
	if r.status >= clientErrorStatus && r.status < serverErrorStatus && r.status != http.StatusConflict {
		return attemptResult{err: unknown}
	}
	return c.resolveOutcome(ctx, e, key, unknown)
}

// onNotRun handles the outcome "not-run". Malformed requests are not sent again,
// nor are requests with a key from the caller, because that key is now closed.
func (c *call) onNotRun(r *reply, p *problem) attemptResult {
	delay := retryAfter(r.header)
	c.notRunErr = NotRunError{Status: r.status, RetryAfter: delay}
	if p != nil {
		c.notRunErr.Title, c.notRunErr.Detail, c.notRunErr.Event = p.Title, p.Detail, p.Event
	}
	callerKey := c.req.Key != "" && !c.req.repeatable()
	unbound := p != nil && p.Type == typeUnboundKey
	final := r.status < serverErrorStatus || callerKey && !unbound
	res := attemptResult{retry: !final, err: c.finalError(attemptResult{}), delay: delay}
	if p != nil && len(p.Entries) > 0 {
		// The instance is about to stop and lists others. Trying one of them
		// costs the system no more than a refused connection.
		res.uncharged, res.delay = true, 0
	}
	if p != nil && p.Type == typeNoIntent {
		// The key's witness is gone. The response contains a key prefix with
		// another witness, and the request did not reach an endpoint.
		res.uncharged, res.delay = true, 0
	}
	return res
}

// retryAfter returns the delay of a Retry-After field in seconds, or zero.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// parseProblem returns the problem details of a response, or nil if it has none.
func parseProblem(r *reply) *problem {
	if r.header.Get("Content-Type") != problemContentType {
		return nil
	}
	p := &problem{}
	if json.Unmarshal(r.body, p) != nil {
		return nil
	}
	return p
}

// outcomeReport is the response to GET /v1/outcomes/KEY.
type outcomeReport struct {
	Outcome   string      `json:"outcome"`
	Reason    string      `json:"reason"`
	Status    int         `json:"status"`
	Header    http.Header `json:"header"`
	Body      []byte      `json:"body"`
	BodyGone  bool        `json:"body_gone"`
	KeyPrefix string      `json:"key_prefix"`
}

// resolveOutcome queries instances for the outcome of a key until it is known,
// maxOutcomeQueries is reached, or the deadline would pass. Queries are repeated
// because an outcome can become known late: the request may still be running, or
// the message from the key's owner to its witness may be in transit.
func (c *call) resolveOutcome(ctx context.Context, e Entry, key string, unknown *UnknownError) attemptResult {
	if key == "" {
		return attemptResult{err: unknown}
	}
	for query := range maxOutcomeQueries {
		r := c.queryOutcome(ctx, e, key, query)
		switch {
		case r == nil:
		case r.Outcome == outcomeAnswered && r.BodyGone:
			return attemptResult{err: &ResponseGoneError{Status: r.Status}}
		case r.Outcome == outcomeAnswered:
			return attemptResult{resp: &Response{Status: r.Status, Header: r.Header, Body: r.Body, Attempts: c.attempts}}
		case r.Outcome == outcomeNotRun:
			c.notRunErr = NotRunError{Title: "The key is closed", Cause: unknown.Cause}
			return attemptResult{retry: c.req.Key == "", err: c.finalError(attemptResult{})}
		}
		if !backoff(ctx, query+2, 0) {
			break
		}
	}
	return attemptResult{err: unknown}
}

// queryOutcome queries one instance for the outcome of a key. Successive queries
// go to different instances, with the instance of the attempt last. It returns
// nil if the query fails.
func (c *call) queryOutcome(ctx context.Context, e Entry, key string, query int) *outcomeReport {
	entries, err := c.client.directory.list(ctx)
	if err != nil {
		return nil
	}
	entries = withAddrLast(entries, e.Addr)
	queryCtx, cancel := c.attemptContext(ctx)
	defer cancel()
	addr := entries[query%len(entries)].Addr
	reply, err := c.client.exchange(queryCtx, addr, http.MethodGet, "/v1/outcomes/"+url.PathEscape(key), nil, nil)
	if err != nil {
		c.client.directory.demote(addr)
		return nil
	}
	r := &outcomeReport{}
	if reply.status != http.StatusOK || json.Unmarshal(reply.body, r) != nil {
		return nil
	}
	return r
}
