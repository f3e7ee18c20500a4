package policytest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/roster"
	"jujubestile.example/jujubestile/internal/steering"
)

const (
	// maxAttempts, retryRatio, retrySlack and retryWindow are those of the
	// daemon.
	maxAttempts            = 4
	retryRatio, retrySlack = 0.1, 40
	retryWindow            = 10 * time.Second
	// firstTarget is the daemon's first guess of the work.
	firstTarget = 60 * time.Millisecond
)

// product is an instance with the real code.
type product struct {
	admission *admission.Controller
	table     *steering.Table
	roster    *roster.Roster
	engine    *forward.Engine
	prober    forward.Prober
}

func newProduct(id model.InstanceID, t *transport, r *router, rnd func(uint64) *rand.Rand) *product {
	p := &product{admission: admission.New(r)}
	p.table = steering.New(steering.Config{Self: id, Domain: t.domain, Region: t.region, MaxShift: 1, NoPeerLoads: true, Rand: rnd(1)})
	p.roster = roster.New(p.table, func(model.EndpointID, string) {})
	state := desired.New(1, nil, []desired.Service{{Name: service, HealthPath: probePath, MaxConnections: 700}}, desired.Limits{})
	p.table.SetServices(state.Services)
	r.usable = func(g model.Region) bool { return p.table.Usable(service, g, time.Now()) > 0 }
	budget := forward.NewBudget(forward.BudgetConfig{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow})
	budget.SetInstances(instances)
	p.engine = forward.NewEngine(forward.EngineConfig{
		Log: events.Nop(), Table: p.table, Transport: t, Budget: budget, Rand: rnd(2),
		State: func() *desired.State { return state }, Instances: func() int { return instances },
		OnUnreachable: func(steering.Endpoint, error) {}, Admission: &spacedAdmission{p.admission, t.spacer},
	})
	p.prober = forward.Prober{Table: p.table, Transport: t, Log: events.Nop(), Count: func() {},
		Healthy: func(status int) bool { return status < http.StatusInternalServerError }}
	return p
}

// do implements doer. Recording the intent of work that may not be repeated
// takes a round trip.
func (p *product) do(_ context.Context, w work) result {
	now := time.Now()
	req := &forward.Request{
		Route: &desired.Route{Name: string(service), Repeatable: w.repeatable, TargetLatency: firstTarget, Rank: int(w.priority) - 1,
			MaxAttempts: maxAttempts, TrafficSplit: []desired.WeightedService{{Service: service, Weight: 1}}},
		Arrived: now, Deadline: w.deadline, SoftDeadline: w.deadline, Method: http.MethodGet, Target: targetOf(w.priority, w.time),
		CallerRetries: w.repeats,
	}
	if !w.repeatable {
		req.RecordIntent = func(ctx context.Context) error {
			sleep(ctx, intentTime)
			return ctx.Err()
		}
	}
	a := p.engine.Do(context.Background(), req)
	return result{outcome: a.Outcome, status: a.FinalStatus(), retryAfter: a.RetryAfter}
}
