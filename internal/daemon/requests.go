package daemon

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/entry"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/telemetry"
	"jujubestile.example/jujubestile/internal/wire"
)

const (
	// maxAttempts limits the attempts of one request, even if the retry budget
	// allows more.
	maxAttempts = 4
	// initialTargetLatency is the target latency from which the service time
	// is estimated before the first response of a service. It is low, so that
	// no request is refused because of the estimate.
	initialTargetLatency = 60 * time.Millisecond
)

// dispatcher implements entry.Dispatcher.
type dispatcher struct{ d *Daemon }

// Do implements entry.Dispatcher.
func (a dispatcher) Do(ctx context.Context, r *entry.Request, c entry.Claim) entry.Result {
	req := &forward.Request{
		ID: requestID(ctx, r), Route: routeOf(r), Version: desired.Version(a.d.Revision()),
		Arrived: r.Arrived, CallerTimeout: r.Deadline.Sub(r.Arrived), Deadline: r.Deadline, SoftDeadline: r.Deadline,
		Method: r.Method, Target: r.Path, Host: string(r.Service), Header: r.Header, Body: r.Body,
		CallerRetries: r.Retries,
	}
	if c != nil && !r.Repeatable {
		req.RecordIntent = c.Intent
	}
	answer := a.d.engine.Do(ctx, req)
	a.d.engine.Record(req, answer, time.Since(r.Arrived))
	return resultOf(answer)
}

// requestID returns the ID of a request in logs: its key, else the trace ID of
// its caller, else a random string.
func requestID(ctx context.Context, r *entry.Request) string {
	if r.Key != "" {
		return r.Key
	}
	if span := trace.SpanContextFromContext(ctx); span.HasTraceID() {
		return span.TraceID().String()
	}
	return rand.Text()
}

// routeOf returns a route with the service, repeatability and priority of a
// request.
func routeOf(r *entry.Request) *desired.Route {
	return &desired.Route{
		Name: string(r.Service), Repeatable: r.Repeatable, TargetLatency: initialTargetLatency, Rank: int(r.Priority) - 1,
		MaxAttempts: maxAttempts, TrafficSplit: []desired.WeightedService{{Service: r.Service, Weight: 1}},
	}
}

func resultOf(a forward.Answer) entry.Result {
	out := entry.Result{Outcome: a.Outcome, Status: statusOf(a), Detail: a.Reason, RetryAfter: a.RetryAfter, Event: a.Event().Number}
	if a.Response != nil {
		out.Response = &ledger.Response{Status: a.Response.Status, Header: wire.CallerHeader(a.Response.Header), Body: a.Response.Body}
	}
	return out
}

// statusOf returns the HTTP status for a request without a response, or 0 for
// the default status of its outcome.
func statusOf(a forward.Answer) int {
	switch a.Reason {
	case string(forward.ReasonDeadline):
		return http.StatusGatewayTimeout
	case forward.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	}
	return 0
}

// withTracing wraps a handler so that each request gets a span for the hop
// through this instance.
func withTracing(t *telemetry.Tracer, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.Start(telemetry.Extract(r.Context(), r.Header), "entry", attribute.String("path", r.URL.Path))
		defer func() { span.End(w.Header().Get(entry.OutcomeHeader), nil) }()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// tracedTransport is a transport that makes a span for each hop to an endpoint.
type tracedTransport struct {
	next   forward.Transport
	tracer *telemetry.Tracer
}

// Do implements forward.Transport.
func (t tracedTransport) Do(ctx context.Context, to exchange.Target, call *exchange.Call) exchange.Result {
	ctx, span := t.tracer.Start(ctx, "endpoint", attribute.String("endpoint", string(to.ID)))
	if span.Recording() {
		traced := *call
		traced.Header = call.Header.Clone()
		telemetry.Inject(ctx, traced.Header)
		call = &traced
	}
	res := t.next.Do(ctx, to, call)
	span.End(res.Outcome.String(), res.Err)
	return res
}

// quarantineAdapter implements forward.Quarantine.
type quarantineAdapter struct{ d *Daemon }

// Check implements forward.Quarantine.
func (a quarantineAdapter) Check(fp uint64) forward.Verdict {
	v := a.d.quarantine.Decide(fp)
	if v == forward.VerdictRefuse {
		a.d.log.Log(events.Quarantined).Uint64("fingerprint", fp).Send()
	}
	return v
}

// Started implements forward.Quarantine.
func (a quarantineAdapter) Started(fp uint64, e model.EndpointID) {
	a.d.quarantine.Started(fp, e)
}

// Cancelled implements forward.Quarantine.
func (a quarantineAdapter) Cancelled(fp uint64, e model.EndpointID) {
	a.d.quarantine.Cancelled(fp, e)
}

// Finished implements forward.Quarantine. A crash is reported to the other
// instances at once.
func (a quarantineAdapter) Finished(fp uint64, e model.EndpointID, crashed bool) {
	a.d.quarantine.Finished(fp, e, crashed)
	if crashed {
		a.d.members.Notify(a.d.quarantine.Name())
	}
}
