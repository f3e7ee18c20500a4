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

// problem is an RFC 9457 problem details object of an instance.
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
	problemContent    = "application/problem+json"
	noIntent          = "urn:jujubestile:problem:no-intent"
	responseGone      = "urn:jujubestile:problem:response-gone"
	unboundKey        = "urn:jujubestile:problem:unbound"
	maxQuestions      = 6
	outcomeAnswered   = "answered"
	outcomeNotRun     = "not-run"
	reasonRunning     = "running"
	clientErrorStatus = 400
	serverErrorStatus = 500
)

// work is one request on its way through its attempts.
type work struct {
	c        *Client
	req      *Request
	attempts int
	failures int
	// last is why the request has not run so far.
	last NotRunError
	// avoid is the instance of the last attempt.
	avoid string
}

// step is what an attempt led to: the end, or another attempt.
type step struct {
	resp *Response
	err  error
	// again means that another attempt is safe.
	again bool
	// free means that the attempt could not connect, met an instance that is
	// about to stop, or needs another key, and costs no budget.
	free  bool
	after time.Duration
}

func (w *work) run(ctx context.Context) (*Response, error) {
	for {
		s := w.attempt(ctx)
		if !s.again {
			return s.resp, s.err
		}
		if !w.mayRetry(ctx, s) {
			return nil, w.giveUp(s)
		}
	}
}

// mayRetry waits before the next attempt. Attempts that could not connect cost
// the system nothing and are not counted in the budget.
func (w *work) mayRetry(ctx context.Context, s step) bool {
	if s.free {
		w.failures++
		return w.failures < maxConnectFailures && backoff(ctx, w.failures, 0)
	}
	if w.attempts >= w.c.cfg.MaxAttempts || !w.c.budget.spend() {
		return false
	}
	return backoff(ctx, w.attempts, s.after)
}

// giveUp returns the error of the last attempt. Repeatable work may have run.
func (w *work) giveUp(s step) error {
	if s.err != nil {
		return s.err
	}
	err := w.last
	return &err
}

func (w *work) attempt(ctx context.Context) step {
	entries, err := w.c.directory.list(ctx)
	if err != nil {
		return step{err: &NotRunError{Cause: err}}
	}
	entry := entries[0]
	if w.avoid != "" {
		entry = withoutAddr(entries, w.avoid)[0]
	}
	w.avoid = entry.Addr
	key := w.key(entry)
	w.attempts++
	attemptCtx, cancel := w.attemptContext(ctx)
	defer cancel()
	h := headers(ctx, w.req, key, w.attempts)
	r, err := w.c.exchange(attemptCtx, entry.Addr, w.req.Method, servicePath(w.req), h, w.req.Body)
	if err != nil {
		return w.failed(ctx, entry, key, err)
	}
	return w.answered(ctx, entry, key, r)
}

// key returns the key of the next attempt. Keys made here are used once: after
// "not run" a key is closed.
func (w *work) key(e Entry) string {
	if w.req.repeatable() || w.req.Key != "" {
		return w.req.Key
	}
	return newKey(e.KeyPrefix)
}

// attemptContext leaves time for another instance if the connection is silent:
// half of the time that remains.
func (w *work) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// failed decides after an exchange without a response.
func (w *work) failed(ctx context.Context, e Entry, key string, err error) step {
	w.c.directory.avoid(e.Addr)
	var x *exchangeError
	if errors.As(err, &x) && !x.sent {
		w.last = NotRunError{Cause: err}
		w.attempts--
		return step{again: ctx.Err() == nil, free: true, err: w.giveUp(step{})}
	}
	if w.req.repeatable() {
		return step{again: ctx.Err() == nil, err: &UnknownError{Cause: err}}
	}
	return w.resolve(ctx, e, key, &UnknownError{Key: key, Cause: err})
}

// answered decides after a response of an instance.
func (w *work) answered(ctx context.Context, e Entry, key string, r *reply) step {
	p := parseProblem(r)
	if p != nil {
		w.c.directory.learn(e.Addr, p)
	}
	switch r.outcome() {
	case outcomeAnswered:
		if p != nil && p.Type == responseGone {
			return step{err: &ResponseGoneError{Status: p.RecordedStatus}}
		}
		return step{resp: &Response{Status: r.status, Header: r.header, Body: r.body, Attempts: w.attempts}}
	case outcomeNotRun:
		return w.notRun(r, p)
	}
	title := "status " + strconv.Itoa(r.status)
	if p != nil {
		title = p.Title
	}
	unknown := &UnknownError{Key: key, Title: title}
	if p != nil && p.Type == unboundKey {
		// The key may be bound elsewhere; sent again it leads there.
		return step{again: true, err: unknown, after: retryAfter(r.header)}
	}
	if w.req.repeatable() {
		return step{again: true, err: unknown}
	}
	if r.status >= clientErrorStatus && r.status < serverErrorStatus && r.status != http.StatusConflict {
		return step{err: unknown}
	}
	return w.resolve(ctx, e, key, unknown)
}

// notRun decides after the outcome "not run". Malformed requests are not sent
// again, nor are requests under a key of the caller, which is closed.
func (w *work) notRun(r *reply, p *problem) step {
	after := retryAfter(r.header)
	w.last = NotRunError{Status: r.status, RetryAfter: after}
	if p != nil {
		w.last.Title, w.last.Detail, w.last.Event = p.Title, p.Detail, p.Event
	}
	ownKey := w.req.Key != "" && !w.req.repeatable()
	unbound := p != nil && p.Type == unboundKey
	final := r.status < serverErrorStatus || ownKey && !unbound
	s := step{again: !final, err: w.giveUp(step{}), after: after}
	if p != nil && len(p.Entries) > 0 {
		// The instance is about to stop and names others. Going there costs the
		// system no more than a refused connection.
		s.free, s.after = true, 0
	}
	if p != nil && p.Type == noIntent {
		// The witness of the key has gone. The response has a prefix with
		// another one, and no endpoint was involved.
		s.free, s.after = true, 0
	}
	return s
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func parseProblem(r *reply) *problem {
	if r.header.Get("Content-Type") != problemContent {
		return nil
	}
	p := &problem{}
	if json.Unmarshal(r.body, p) != nil {
		return nil
	}
	return p
}

// report is the response to GET /v1/outcomes/KEY.
type report struct {
	Outcome   string      `json:"outcome"`
	Reason    string      `json:"reason"`
	Status    int         `json:"status"`
	Header    http.Header `json:"header"`
	Body      []byte      `json:"body"`
	BodyGone  bool        `json:"body_gone"`
	KeyPrefix string      `json:"key_prefix"`
}

// resolve asks other instances what became of a key, until it is known or the
// deadline comes. An outcome may become known later: a running request ends,
// and an owner's message to its witness is on its way.
func (w *work) resolve(ctx context.Context, e Entry, key string, unknown *UnknownError) step {
	if key == "" {
		return step{err: unknown}
	}
	for question := range maxQuestions {
		r := w.ask(ctx, e, key, question)
		switch {
		case r == nil:
		case r.Outcome == outcomeAnswered && r.BodyGone:
			return step{err: &ResponseGoneError{Status: r.Status}}
		case r.Outcome == outcomeAnswered:
			return step{resp: &Response{Status: r.Status, Header: r.Header, Body: r.Body, Attempts: w.attempts}}
		case r.Outcome == outcomeNotRun:
			w.last = NotRunError{Title: "The key is closed", Cause: unknown.Cause}
			return step{again: w.req.Key == "", err: w.giveUp(step{})}
		}
		if !backoff(ctx, question+2, 0) {
			break
		}
	}
	return step{err: unknown}
}

// ask asks one instance, the one of the attempt last.
func (w *work) ask(ctx context.Context, e Entry, key string, question int) *report {
	entries, err := w.c.directory.list(ctx)
	if err != nil {
		return nil
	}
	entries = withoutAddr(entries, e.Addr)
	askCtx, cancel := w.attemptContext(ctx)
	defer cancel()
	addr := entries[question%len(entries)].Addr
	reply, err := w.c.exchange(askCtx, addr, http.MethodGet, "/v1/outcomes/"+url.PathEscape(key), nil, nil)
	if err != nil {
		w.c.directory.avoid(addr)
		return nil
	}
	r := &report{}
	if reply.status != http.StatusOK || json.Unmarshal(reply.body, r) != nil {
		return nil
	}
	return r
}
