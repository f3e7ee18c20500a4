package forward

import (
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/steering"
)

// pickFields adds the endpoint and the reasons for choosing it.
func pickFields(e *zerolog.Event, p *steering.Pick) *zerolog.Event {
	if p == nil {
		return e
	}
	e = e.Str("service", string(p.Service)).Str("endpoint", string(p.ID)).Str("domain", string(p.Domain)).Str("region", string(p.Region)).
		Dur("expected_ms", p.Expected).Int("load", p.Load).Int("slots", p.Slots).Bool("warm", p.Warm)
	if p.Cold {
		e = e.Bool("cold", true)
	}
	if p.Next != "" {
		e = e.Str("second", string(p.Next)).Dur("second_expected_ms", p.NextExpected)
	}
	return e
}

// logAnswer logs the end of a request, within the rate limit for the event.
func (e *Engine) logAnswer(req *Request, a Answer, took time.Duration) {
	event, limiter := a.Event(), &e.sampleFailed
	switch event {
	case events.RequestAnswered:
		limiter = &e.sampleOK
		if req.Route != nil && len(req.Route.AllowedRegions) > 0 || req.Tenant != nil && len(req.Tenant.AllowedRegions) > 0 {
			limiter = &e.sampleRegional
		}
	case events.RequestRefused:
		limiter = &e.sampleRefused
	}
	ok, suppressed := limiter.Allow(time.Now())
	if !ok {
		return
	}
	l := e.cfg.Log.Log(event).Str("request", req.ID).Int("status", a.FinalStatus()).
		Str("reason", a.Reason).Dur("wait_ms", req.CallerTimeout).Dur("took_ms", took).Int("tries", a.Attempts).Uint64("state", uint64(req.Version))
	if req.Route != nil {
		l = l.Str("route", req.Route.Name).Int("rank", req.Rank()).Str("object", req.ObjectName).Bool("repeatable", req.Route.Repeatable).
			Dur("left_ms", time.Until(req.Deadline)).Dur("on_time_ms", time.Until(req.SoftDeadline))
		if allowed := req.Route.AllowedRegions; len(allowed) > 0 {
			l = l.Any("allowed_regions", allowed)
		}
	}
	if req.Tenant != nil {
		l = l.Str("tenant", req.Tenant.Name)
		if allowed := req.Tenant.AllowedRegions; len(allowed) > 0 {
			l = l.Any("tenant_regions", allowed)
		}
	}
	if a.Expected > 0 {
		l = l.Dur("expected_ms", a.Expected)
	}
	if a.RetryAfter > 0 {
		l = l.Dur("retry_after_ms", a.RetryAfter)
	}
	if suppressed > 0 {
		l = l.Int("suppressed", suppressed)
	}
	pickFields(l, a.LastPick).Send()
}

// logAttempt logs a failed attempt and how the request continues.
func (e *Engine) logAttempt(req *Request, a attempt, next string) {
	ok, suppressed := e.sampleFailed.Allow(time.Now())
	if !ok {
		return
	}
	l := e.cfg.Log.Log(events.AttemptFailed).Str("request", req.ID).Str("route", req.Route.Name).
		Str("outcome", a.result.Outcome.String()).Int("status", a.result.Status).Bool("reused", a.result.Reused).
		Dur("took_ms", a.took).Str("next", next).
		Float64("budget_left", e.cfg.Budget.Available(a.pick.Service, time.Now()))
	if a.result.Err != nil {
		l = l.AnErr("error", a.result.Err)
	}
	if suppressed > 0 {
		l = l.Int("suppressed", suppressed)
	}
	pickFields(l, a.pick).Send()
}

// logPause logs that an endpoint wants no requests for some time.
func (e *Engine) logPause(to steering.Endpoint, f exchange.ResponseFields) {
	ok, suppressed := e.sampleFailed.Allow(time.Now())
	if !ok {
		return
	}
	l := e.cfg.Log.Log(events.EndpointPaused).Str("endpoint", string(to.ID)).Str("service", string(to.Service)).Dur("pause_ms", f.RetryAfter)
	if f.BadRetryAfter != "" {
		l = l.Str("ignored", f.BadRetryAfter)
	}
	if suppressed > 0 {
		l = l.Int("suppressed", suppressed)
	}
	l.Send()
}

// logBadSpeed logs that an endpoint reported a speed that cannot be read.
func (e *Engine) logBadSpeed(to steering.Endpoint, f exchange.ResponseFields) {
	ok, suppressed := e.sampleSpeed.Allow(time.Now())
	if !ok {
		return
	}
	l := e.cfg.Log.Log(events.EndpointSpeedUnreadable).Str("endpoint", string(to.ID)).Str("service", string(to.Service)).Str("ignored", f.BadSpeed)
	if suppressed > 0 {
		l = l.Int("suppressed", suppressed)
	}
	l.Send()
}

func (e *Engine) logHedge(req *Request, first, second *steering.Pick, after time.Duration) {
	ok, _ := e.sampleFailed.Allow(time.Now())
	if !ok {
		return
	}
	l := e.cfg.Log.Log(events.AttemptHedged).Str("request", req.ID).Str("route", req.Route.Name).
		Str("first", string(first.ID)).Dur("first_expected_ms", first.Expected).Dur("after_ms", after)
	pickFields(l, second).Send()
}
