package daemon

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/entry"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/quarantine"
	"jujubestile.example/jujubestile/internal/telemetry"
)

// singleAttempt is the claim of work that may not be repeated and has no key.
// The dispatcher sends such work at most once; nobody can ask for its outcome
// later, so that no record is kept.
type singleAttempt struct{}

// Intent implements dispatch.Claim.
func (singleAttempt) Intent(context.Context) error { return nil }

// dispatcher implements entry.Dispatcher.
type dispatcher struct{ d *Daemon }

// Do implements entry.Dispatcher.
func (a dispatcher) Do(ctx context.Context, r *dispatch.Request, c dispatch.Claim) entry.Result {
	if c == nil && !r.Repeatable {
		c = singleAttempt{}
	}
	res := a.d.dispatcher.Do(ctx, r, c)
	a.d.count(r, res)
	out := entry.Result{
		Outcome: res.Outcome, Response: res.Response, Status: statusOf(res.Reason),
		Detail: string(res.Reason), RetryAfter: res.RetryAfter,
	}
	if res.Outcome != model.OutcomeAnswered {
		out.Event = a.d.logFailure(r, res)
	}
	return out
}

// statusOf returns the HTTP status of a request without an answer, or 0 for
// the default of its outcome.
func statusOf(r dispatch.Reason) int {
	switch r {
	case dispatch.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case dispatch.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return 0
}

// logFailure logs a request without an answer and returns the event's number.
func (d *Daemon) logFailure(r *dispatch.Request, res dispatch.Result) int {
	e := events.RequestNotAnswered
	if res.Outcome == model.OutcomeUnknown {
		e = events.RequestUnknown
	}
	d.log.Log(e).Str("service", string(r.Service)).Stringer("priority", r.Priority).Str("outcome", string(res.Outcome)).
		Str("reason", string(res.Reason)).Int("attempts", res.Attempts).Str("endpoint", string(res.Endpoint)).Send()
	return e.Number
}

// traced makes a span for the hop through this instance.
func traced(t *telemetry.Tracer, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.Start(telemetry.Extract(r.Context(), r.Header), "entry", attribute.String("path", r.URL.Path))
		defer func() { span.End(w.Header().Get(entry.OutcomeHeader), nil) }()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// tracedTransport makes a span for the hop to an endpoint.
type tracedTransport struct {
	next   dispatch.Transport
	tracer *telemetry.Tracer
}

// Send implements dispatch.Transport.
func (t tracedTransport) Send(ctx context.Context, to model.Endpoint, r *dispatch.Request) (*dispatch.Response, error) {
	ctx, span := t.tracer.Start(ctx, "endpoint", attribute.String("endpoint", string(to.ID)))
	if span.Recording() {
		traced := *r
		traced.Header = r.Header.Clone()
		telemetry.Inject(ctx, traced.Header)
		r = &traced
	}
	resp, err := t.next.Send(ctx, to, r)
	span.End("", err)
	return resp, err
}

// quarantineAdapter implements dispatch.Quarantine.
type quarantineAdapter struct{ d *Daemon }

var verdicts = map[quarantine.Verdict]dispatch.Verdict{
	quarantine.Allow:   dispatch.VerdictAllow,
	quarantine.Isolate: dispatch.VerdictIsolate,
	quarantine.Refuse:  dispatch.VerdictRefuse,
}

// Check implements dispatch.Quarantine. A request that is about to be refused is
// held back until the other instances' reports of the last crash have arrived;
// its caller may send it again.
func (a quarantineAdapter) Check(fp uint64) dispatch.Verdict {
	v := a.d.quarantine.Check(fp)
	if v == quarantine.Isolate && !a.d.quarantine.MayStart(fp, "") {
		v = quarantine.Refuse
	}
	if v == quarantine.Refuse {
		a.d.log.Log(events.Quarantined).Uint64("fingerprint", fp).Send()
	}
	return verdicts[v]
}

// Started implements dispatch.Quarantine.
func (a quarantineAdapter) Started(fp uint64, e model.EndpointID) {
	a.d.quarantine.Started(fp, e)
}

// Cancelled implements dispatch.Quarantine.
func (a quarantineAdapter) Cancelled(fp uint64, e model.EndpointID) {
	a.d.quarantine.Cancelled(fp, e)
}

// Finished implements dispatch.Quarantine. A crash is told to the other
// instances at once.
func (a quarantineAdapter) Finished(fp uint64, e model.EndpointID, crashed bool) {
	a.d.quarantine.Finished(fp, e, crashed)
	if crashed {
		a.d.members.Notify(a.d.quarantine.Name())
	}
}
