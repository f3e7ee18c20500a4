package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/internal/tenant"
)

// Quota limits the requests of tenants over all instances.
type Quota interface {
	// Take takes the token of a request that arrived at a time. It may wait for one.
	// If there is none, retryAfter is the time after which there is likely to be one.
	Take(ctx context.Context, t *desired.Tenant, arrived time.Time) (ok bool, retryAfter time.Duration)
	// Charge takes a token for a further attempt of a request.
	Charge(t *desired.Tenant)
	// Refund gives back a token of a request that was sent to no endpoint.
	Refund(t *desired.Tenant)
}

const (
	// reasonUnauthorized is the reason for rejecting a request without a known API
	// key, reasonUnproven for refusing one while the authorization lease has expired,
	// and reasonQuota for refusing one over the quota of its tenant.
	reasonUnauthorized = "unauthorized"
	reasonUnproven     = "keys-unproven"
	reasonQuota        = "quota"
)

// decide decides by the desired state in force whether the request may be sent now.
func (e *Engine) decide(req *Request) tenant.Decision {
	s := e.cfg.State()
	if s == nil || !s.KeysRequired {
		return tenant.Decision{}
	}
	proven := e.cfg.Proven
	if proven == nil {
		proven = func(desired.Version) bool { return true }
	}
	route := currentRoute(s, req)
	return tenant.Decide(s, tenant.Request{Public: route.Public, HasKey: req.HasKey, Key: req.Key}, proven)
}

// unauthorized returns the answer to a request that a decision does not allow, or nil.
func unauthorized(req *Request, d tenant.Decision) *Answer {
	switch {
	case d.Allowed():
		return nil
	case d.Verdict == tenant.Unproven:
		return refused(reasonUnproven, unprovenRetryAfter(req))
	}
	return rejected(http.StatusUnauthorized, reasonUnauthorized)
}

// unprovenRetryAfter returns a random Retry-After in proportion to the time left.
// Other instances usually lose the proof at about the same time, and callers wait for at
// most a third of their time.
func unprovenRetryAfter(req *Request) time.Duration {
	left := time.Until(req.Deadline)
	return max(otherInstanceRetryAfter, time.Duration((0.1+0.2*rand.Float64())*float64(left)))
}

// authorize decides whether an attempt may start now, and keeps the decision for it.
func (ex *execution) authorize() *Answer {
	ex.decision = ex.decide(ex.req)
	if ex.decision.Tenant != nil {
		ex.req.Tenant = ex.decision.Tenant
	}
	return unauthorized(ex.req, ex.decision)
}

// mayBecomePossible reports whether a refusal may change while the request waits for a
// slot.
func mayBecomePossible(refusal *Answer) bool {
	return refusal.Reason != reasonUnauthorized && refusal.Reason != reasonUnproven && refusal.Reason != reasonStopping
}

// permitted returns the function that reports, immediately before the request is sent,
// whether the picked endpoint may still have it in the form that was decided on. It
// reads the clock and the desired state again, because both may have advanced while a
// connection was opened or the process was paused.
func (ex *execution) permitted(p *steering.Pick) func() bool {
	decided := ex.decision
	return func() bool {
		now := time.Now()
		if !ex.cfg.Table.Permits(p, now) || !ex.mayFinish(ex.req, now) || ex.behind() {
			return false
		}
		d := ex.decide(ex.req)
		return d.Allowed() && d.HidesKey() == decided.HidesKey() && nameOf(d.Tenant) == nameOf(decided.Tenant) &&
			ex.regionalRoute().Allows(p.Region) && d.Tenant.Allows(p.Region)
	}
}

// setTenant sets what the endpoint gets to know of the caller's key.
func (ex *execution) setTenant(call *exchange.Call) {
	call.HideKey, call.Tenant = ex.decision.HidesKey(), nameOf(ex.decision.Tenant)
}

func nameOf(t *desired.Tenant) string {
	if t == nil {
		return ""
	}
	return t.Name
}

// admitTenant finds the tenant of a new request and takes a token of its quota. It
// returns an answer if the request may not run.
func (h *Handler) admitTenant(ctx context.Context, req *Request) *Answer {
	d := h.decide(req)
	if a := unauthorized(req, d); a != nil {
		return a
	}
	if req.Tenant = d.Tenant; d.Tenant == nil || h.cfg.Quota == nil {
		return nil
	}
	return h.takeToken(ctx, req, d.Tenant)
}

// maxTokenAge is how long the token of a request may wait for the request's body. Tokens
// at holders are valid for as long.
const maxTokenAge = time.Second

// renewToken takes another token for a request whose body has taken so long that its
// token was counted in an earlier time. Callers could otherwise collect tokens and send
// all those requests at once. The first token is not given back.
func (h *Handler) renewToken(ctx context.Context, req *Request) *Answer {
	t := req.Charged
	if t == nil || time.Since(req.Arrived) <= maxTokenAge {
		return nil
	}
	req.Charged = nil
	return h.takeToken(ctx, req, t)
}

// takeToken takes a token of a tenant's quota for a request.
func (h *Handler) takeToken(ctx context.Context, req *Request, t *desired.Tenant) *Answer {
	ok, after := h.cfg.Quota.Take(ctx, t, req.Arrived)
	switch {
	case ok:
		req.Charged = t
		return nil
	case ctx.Err() != nil:
		return callerGone(model.OutcomeNotRun)
	}
	return &Answer{Status: http.StatusTooManyRequests, Reason: reasonQuota, Outcome: model.OutcomeNotRun, RetryAfter: after}
}

// Rank returns the priority of the request: that of its tenant, or of its route. 0 is
// the highest.
func (r *Request) Rank() int {
	if r.Tenant != nil && r.Tenant.HasPriority {
		return r.Tenant.Priority
	}
	return r.Route.Rank
}

// quotaTokens counts the tokens that a request has taken and not used.
type quotaTokens struct {
	quota  Quota
	tenant *desired.Tenant
	unused int
}

func newQuotaTokens(q Quota, req *Request) quotaTokens {
	if q == nil || req.Charged == nil {
		return quotaTokens{}
	}
	return quotaTokens{quota: q, tenant: req.Charged, unused: 1}
}

// use takes a token for an attempt.
func (t *quotaTokens) use() {
	switch {
	case t.quota == nil:
	case t.unused > 0:
		t.unused--
	default:
		t.quota.Charge(t.tenant)
	}
}

// ended returns the token of an attempt that was not sent. One that an endpoint has
// rejected has reached it, and the quota bounds what reaches endpoints.
func (t *quotaTokens) ended(o exchange.Outcome) {
	if t.quota != nil && o == exchange.NotSent {
		t.unused++
	}
}

// refund gives back the unused tokens.
func (t *quotaTokens) refund() {
	for ; t.unused > 0; t.unused-- {
		t.quota.Refund(t.tenant)
	}
}
