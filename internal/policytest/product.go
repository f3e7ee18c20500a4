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
	// maxAttempts, retryRatio, retrySlack, retryReserve and retryWindow have the
	// values that the daemon uses.
	maxAttempts            = 4
	retryRatio, retrySlack = 0.1, 40
	retryReserve           = 1
	retryWindow            = 10 * time.Second
	// initialTargetLatency is the service time that the daemon assumes before
	// it has measured any.
	initialTargetLatency = 60 * time.Millisecond
)

// product is an instance that runs the production code.
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
	budget := forward.NewBudget(forward.BudgetConfig{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow, Reserve: retryReserve})
	budget.SetInstances(instanceCount)
	p.engine = forward.NewEngine(forward.EngineConfig{
		Log: events.Nop(), Table: p.table, Transport: t, Budget: budget, Rand: rnd(2),
		State: func() *desired.State { return state }, Instances: func() int { return instanceCount },
		OnUnreachable: func(steering.Endpoint, error) {}, Admission: &staggeredAdmission{p.admission, t.staggerer},
	})
	p.prober = forward.Prober{Table: p.table, Transport: t, Log: events.Nop(), Count: func() {},
		Healthy: func(status int) bool { return status < http.StatusInternalServerError }}
	return p
}

// do implements doer. Recording the intent of a non-repeatable request takes
// recordIntentTime.
func (p *product) do(_ context.Context, cr callerRequest) result {
	now := time.Now()
	req := &forward.Request{
		Route: &desired.Route{Name: string(service), Repeatable: cr.repeatable, TargetLatency: initialTargetLatency, Rank: int(cr.priority) - 1,
			MaxAttempts: maxAttempts, TrafficSplit: []desired.WeightedService{{Service: service, Weight: 1}}},
		Arrived: now, Deadline: cr.deadline, SoftDeadline: cr.deadline, Method: http.MethodGet, Target: requestPath(cr.priority, cr.serviceTime),
		CallerRetries: cr.retries,
	}
	if !cr.repeatable {
		req.RecordIntent = func(ctx context.Context) error {
			sleep(ctx, recordIntentTime)
			return ctx.Err()
		}
	}
	a := p.engine.Do(context.Background(), req)
	return result{outcome: a.Outcome, status: a.FinalStatus(), retryAfter: a.RetryAfter}
}
