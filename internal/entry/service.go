package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
)

// service handles METHOD /v1/services/SERVICE/PATH.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.graceOver() {
		h.refuseDraining(w, r)
		return
	}
	if h.InFlight() > h.cfg.MaxInFlight {
		h.refuse(w, r, newProblem(http.StatusServiceUnavailable, "in-flight", "Too many requests in this instance", "").withRetryAfter(time.Second))
		return
	}
	if h.cfg.Ready != nil && !h.cfg.Ready() {
		h.refuseWithEntries(w, r, newProblem(http.StatusServiceUnavailable, "not-ready", "This instance does not take work yet", ""))
		return
	}
	req, timeout, problem := h.readRequest(w, r)
	if problem != nil {
		h.refuse(w, r, problem)
		return
	}
	defer h.buffered.Release(h.bufferedSize(r))
	ctx := r.Context()
	if !req.Repeatable {
		// The request continues if its caller disconnects, so that its outcome is
		// recorded and the caller can query it later.
		ctx = context.WithoutCancel(ctx)
	}
	req.Arrived, req.Deadline = arrived, arrived.Add(timeout)
	if req.Key == "" || repeatableMethod(req.Method) {
		h.writeResult(w, r, h.cfg.Dispatcher.Do(ctx, req, nil))
		return
	}
	h.serveKeyed(ctx, w, r, req)
}

// serveKeyed runs a request under its key. A request that a rule declares
// repeatable is recorded too, so that GET /v1/outcomes does not report it as not
// run.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, req *Request) {
	fp := model.Fingerprint(req.Service, req.Method, req.Path, req.Body)
	ctxWithDeadline, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	claim, recorded, err := h.cfg.Ledger.Begin(ctxWithDeadline, req.Key, fp)
	switch {
	case err != nil:
		h.writeProblem(w, h.ledgerProblem(r, err))
	case recorded != nil:
		h.writeRecorded(w, r, recorded)
	default:
		// After a panic the claim is still open, and the request may have been
		// sent.
		defer claim.Finish(model.OutcomeUnknown, nil)
		res := h.cfg.Dispatcher.Do(ctx, req, claim)
		res.Outcome = claim.Finish(res.Outcome, res.Response)
		h.writeResult(w, r, res)
	}
}

// ledgerProblem describes an error of Begin.
func (h *Handler) ledgerProblem(r *http.Request, err error) *Problem {
	var refusal *ledger.Refusal
	if errors.As(err, &refusal) {
		p := refusalProblem(refusal)
		if refusal.NoBinding && r.Header.Get(AttemptHeader) == firstAttempt {
			p.Outcome = model.OutcomeNotRun
		}
		return p
	}
	return newProblem(http.StatusInternalServerError, "internal", "Internal error", model.OutcomeUnknown)
}

func (h *Handler) writeProblem(w http.ResponseWriter, p *Problem) {
	p.KeyPrefix = h.cfg.Ledger.Prefix()
	p.write(w)
}

// readRequest checks a request and reads its body. After success the calling
// function must release the body's share of h.buffered.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (*Request, time.Duration, *Problem) {
	if headerBytes(r.Header) > maxHeaderBytes {
		return nil, 0, newProblem(http.StatusRequestHeaderFieldsTooLarge, "header-size", "Header over 16 KB", "")
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, 0, newProblem(http.StatusMethodNotAllowed, "method", "Method not allowed", "")
	}
	service, path, withQuery, err := servicePath(r.URL)
	if err != nil {
		return nil, 0, badRequest("path", err)
	}
	class, ok := h.cfg.Classifier.Classify(service, r.Method, path)
	if !ok {
		return nil, 0, newProblem(http.StatusNotFound, "no-such-service", "No such service", "")
	}
	key, err := parseKey(r.Header)
	if err != nil {
		return nil, 0, badRequest("invalid-key", err)
	}
	timeout, err := timeoutOf(r.Header, h.cfg.DefaultTimeout, h.cfg.MaxTimeout)
	if err != nil {
		return nil, 0, badRequest("timeout", err)
	}
	body, problem := h.readBody(w, r)
	if problem != nil {
		return nil, 0, problem
	}
	req := &Request{
		Retries: retriesOf(r.Header),
		Service: service, Priority: priorityOf(r.Header, class.Priority), Repeatable: class.Repeatable,
		Key: key, Method: r.Method, Path: withQuery, Header: r.Header, Body: body,
	}
	return req, timeout, nil
}

func badRequest(name string, err error) *Problem {
	return newProblem(http.StatusBadRequest, name, "Malformed request", "").withDetail(err.Error())
}

// bufferedSize returns how much of h.buffered a request acquires for its body.
func (h *Handler) bufferedSize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return h.cfg.MaxBodyBytes
	}
	return r.ContentLength
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	size := h.bufferedSize(r)
	if size > h.cfg.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, newProblem(http.StatusRequestEntityTooLarge, "body-size", "Body over the limit", "")
	}
	if !h.buffered.TryAcquire(size) {
		w.Header().Set("Connection", "close")
		return nil, newProblem(http.StatusServiceUnavailable, "buffers", "Too many request bodies in memory", "").withRetryAfter(time.Second)
	}
	control := http.NewResponseController(w)
	// httptest.ResponseRecorder does not support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	if err != nil {
		h.buffered.Release(size)
		w.Header().Set("Connection", "close")
		return nil, bodyProblem(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// WithoutBody is middleware for requests whose body has no use.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		discardBody(w, r)
		next.ServeHTTP(w, r)
	})
}

// discardBody reads a short body of a request that is answered without it. Otherwise the
// connection is closed after the answer. net/http would read up to 256 KB before it sends
// the answer, however slowly they arrive.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	// httptest.ResponseRecorder does not support deadlines.
	if r.ContentLength > 0 && r.ContentLength <= maxDiscarded {
		_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
}

func bodyProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, forward.ErrBodyRefused):
		return newProblem(http.StatusServiceUnavailable, "buffers", "Too many request bodies in memory", "").withRetryAfter(time.Second)
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, "body-size", "Body over the limit", "")
	case errors.As(err, &timeout) && timeout.Timeout():
		return newProblem(http.StatusRequestTimeout, "body-timeout", "Body not received in time", "")
	}
	return badRequest("body", err)
}

// writeResult writes the response for a dispatched request.
func (h *Handler) writeResult(w http.ResponseWriter, r *http.Request, res Result) {
	if res.Outcome == model.OutcomeAnswered && res.Response != nil {
		h.writeResponse(w, r, res.Response)
		return
	}
	p := newProblem(http.StatusServiceUnavailable, "not-run", "The request has not run", res.Outcome)
	if res.Outcome != model.OutcomeNotRun {
		p = newProblem(http.StatusGatewayTimeout, "unknown", "The request may have run", model.OutcomeUnknown)
	}
	if res.Status != 0 {
		p.Status = res.Status
	}
	if res.Detail != "" {
		p.Type = problemPrefix + res.Detail
	}
	p.Event = res.Event
	h.writeProblem(w, p.withDetail(res.Detail).withRetryAfter(res.RetryAfter))
}

// writeRecorded writes the response for a key with a recorded result.
func (h *Handler) writeRecorded(w http.ResponseWriter, r *http.Request, res *ledger.Result) {
	switch {
	case res.Outcome == model.OutcomeNotRun:
		h.writeProblem(w, notRunProblem())
	case res.Outcome != model.OutcomeAnswered:
		h.writeProblem(w, newProblem(http.StatusGatewayTimeout, "unknown", "The request may have run", model.OutcomeUnknown))
	case res.BodyGone:
		h.writeProblem(w, responseGoneProblem(res))
	default:
		h.writeResponse(w, r, &ledger.Response{Status: res.Status, Header: res.Header, Body: res.Body})
	}
}

// writeResponse writes an endpoint's complete response. If it fails after the
// response has begun, it aborts the connection.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, resp *ledger.Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	header := w.Header()
	for name, values := range resp.Header {
		if name != "Connection" {
			header[name] = values
		}
	}
	header.Set(OutcomeHeader, string(model.OutcomeAnswered))
	if r.Method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(resp.Status)
	if r.Method == http.MethodHead {
		return
	}
	if n, err := w.Write(resp.Body); err != nil && n < len(resp.Body) {
		panic(http.ErrAbortHandler)
	}
}
