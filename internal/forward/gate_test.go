package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// gate gives slots of two regions and notes how each returns.
type gate struct {
	mu     sync.Mutex
	free   map[model.Region]int
	order  []model.Region
	given  int
	back   []string
	cancel func()
}

func newGate(slots int) *gate {
	return &gate{free: map[model.Region]int{"a": slots, "b": slots}, order: []model.Region{"a", "b"}}
}

func (g *gate) take(n forward.AdmissionRequest) *permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.order {
		if g.free[r] > 0 && !slices.Contains(n.Exclude, r) {
			g.free[r]--
			g.given++
			return &permit{gate: g, region: r}
		}
	}
	return nil
}

func (g *gate) Admit(ctx context.Context, n forward.AdmissionRequest) (forward.Permit, error) {
	for {
		if p := g.take(n); p != nil {
			return p, nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return nil, &forward.RefusalError{Reason: forward.ReasonDeadline, RetryAfter: time.Second}
		}
	}
}

func (g *gate) TryAdmit(_ time.Time, n forward.AdmissionRequest) (forward.Permit, bool) {
	p := g.take(n)
	return p, p != nil
}

func (g *gate) returned(how string, r model.Region) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.back = append(g.back, how)
	g.free[r]++
}

type permit struct {
	gate   *gate
	region model.Region
}

func (p *permit) Region() model.Region   { return p.region }
func (p *permit) Release()               { p.gate.returned("now", p.region) }
func (p *permit) Answered(time.Duration) {}
func (p *permit) ReleaseAt(t time.Time) {
	p.gate.returned(fmt.Sprint("after ", time.Until(t).Round(10*time.Millisecond)), p.region)
}
func (p *permit) Preemptible(cancel func()) {
	p.gate.mu.Lock()
	p.gate.cancel = cancel
	p.gate.mu.Unlock()
}

// quarantineLog notes the calls of a Quarantine.
type quarantineLog struct {
	mu      sync.Mutex
	verdict forward.Verdict
	open    int
	ends    []string
}

func (q *quarantineLog) Check(uint64) forward.Verdict { return q.verdict }
func (q *quarantineLog) note(open int, end string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open += open
	if end != "" {
		q.ends = append(q.ends, end)
	}
}
func (q *quarantineLog) Started(uint64, model.EndpointID) { q.note(1, "") }
func (q *quarantineLog) Finished(_ uint64, _ model.EndpointID, crashed bool) {
	q.note(-1, fmt.Sprint("crashed ", crashed))
}
func (q *quarantineLog) Cancelled(uint64, model.EndpointID) { q.note(-1, "cancelled") }

// gated is an engine behind a gate, with an endpoint in region a and two in b.
type gated struct {
	*forward.Engine
	net        *endpoints
	gate       *gate
	quarantine *quarantineLog
	table      *steering.Table
}

func newGated(slots int, reply func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result) *gated {
	g := &gated{net: &endpoints{reply: reply}, gate: newGate(slots), quarantine: &quarantineLog{}}
	g.table = steering.New(steering.Config{Self: "i1", Domain: "a1", Region: "a", MaxShift: 1, Rand: rand.New(rand.NewPCG(1, 2))})
	for i, r := range []model.Region{"a", "b", "b"} {
		g.table.Put(steering.Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Service: "s", Region: r, Domain: model.Domain(r), Slots: 4,
			Addr: netip.MustParseAddrPort("10.0.0.1:80")}, time.Now())
	}
	state := desired.New(1, nil, []desired.Service{{Name: "s", MaxConnections: 100}}, desired.Limits{})
	g.Engine = forward.NewEngine(forward.EngineConfig{Log: events.Nop(), Table: g.table, Transport: g.net,
		Budget: forward.NewBudget(forward.BudgetConfig{Ratio: 0.2, Slack: 120, Window: 10 * time.Second}),
		Rand:   rand.New(rand.NewPCG(3, 4)), State: func() *desired.State { return state }, Instances: func() int { return 1 },
		OnUnreachable: func(steering.Endpoint, error) {}, Admission: g.gate, Quarantine: g.quarantine})
	return g
}

func gatedRequest(repeatable bool, wait time.Duration) *forward.Request {
	now := time.Now()
	return &forward.Request{ID: "r1", Arrived: now, Deadline: now.Add(wait), SoftDeadline: now.Add(wait), Method: "POST", Target: "/x",
		Route: &desired.Route{Name: "r", Repeatable: repeatable, Rank: 1, MaxAttempts: 3, TargetLatency: 20 * time.Millisecond,
			TrafficSplit: []desired.WeightedService{{Service: "s", Weight: 1}}}}
}

// Each end of an attempt returns its slot at the right time: at once if nothing
// runs any more, at the deadline if it may.
func TestSlotReturns(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		reply      exchange.Result
		back       string
	}{
		{"answered", false, ok(""), "now"},
		{"refused", false, shed, "now"},
		{"not sent", false, unreachable, "now"},
		{"broken", false, broken, "after 500ms"},
		{"broken, repeatable", true, broken, "after 500ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGated(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return c.reply })
				g.Do(t.Context(), gatedRequest(c.repeatable, 500*time.Millisecond))
				if g.gate.back[0] != c.back || len(g.gate.back) != g.gate.given {
					t.Errorf("slots returned %q, %d given; want the first %q", g.gate.back, g.gate.given, c.back)
				}
				if g.quarantine.open != 0 {
					t.Errorf("%d attempts open in the quarantine", g.quarantine.open)
				}
			})
		})
	}
}

// A request whose caller leaves gives up its slot as soon as the endpoint has
// the cancellation, or at its deadline if the endpoint need not stop it.
func TestSlotOfACallerThatLeaves(t *testing.T) {
	for repeatable, want := range map[bool]string{true: "after 10ms", false: "after 300ms"} {
		synctest.Test(t, func(t *testing.T) {
			g := newGated(1, func(ctx context.Context, _ int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				select {
				case <-ctx.Done():
					return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
				case <-time.After(200 * time.Millisecond):
					return broken
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			req := gatedRequest(repeatable, 500*time.Millisecond)
			req.Route.MaxAttempts = 1 // No second attempt beside the first.
			if a := g.Do(ctx, req); !a.CallerGone {
				t.Errorf("answer %+v", a)
			}
			g.Wait(t.Context())
			if len(g.gate.back) != 1 || g.gate.back[0] != want {
				t.Errorf("repeatable %v: slots returned %q, want %q", repeatable, g.gate.back, want)
			}
		})
	}
}

// A region whose endpoints are all tried is left for another one; without any
// the request is refused and no slot is kept.
func TestRegionWithoutEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGated(4, func(_ context.Context, _ int, to exchange.Target, _ *exchange.Call) exchange.Result {
			if to.ID == "e0" {
				return unreachable
			}
			return ok("")
		})
		if a := g.Do(t.Context(), gatedRequest(false, 500*time.Millisecond)); a.Response == nil || !slices.Equal(g.net.sent[:1], []string{"e0"}) || len(g.net.sent) != 2 {
			t.Errorf("answer %+v after %q", a, g.net.sent)
		}
		for _, id := range []model.EndpointID{"e0", "e1", "e2"} {
			g.table.Remove(id, time.Now())
		}
		a := g.Do(t.Context(), gatedRequest(false, 500*time.Millisecond))
		if a.Outcome != model.OutcomeNotRun || a.Reason != "no-endpoint" || len(g.gate.back) != g.gate.given {
			t.Errorf("answer %+v, %d of %d slots back", a, len(g.gate.back), g.gate.given)
		}
	})
}

// A request that finds no slot until its deadline has not run.
func TestNoSlotUntilTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGated(0, nil)
		began := time.Now()
		a := g.Do(t.Context(), gatedRequest(true, 300*time.Millisecond))
		if a.Outcome != model.OutcomeNotRun || a.Reason != "deadline" || time.Since(began) != 300*time.Millisecond {
			t.Errorf("answer %+v after %s", a, time.Since(began))
		}
	})
}

// A preempted attempt goes on elsewhere, and its endpoint is not blamed.
func TestPreemptedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g *gated
		g = newGated(1, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
			if n > 1 {
				return ok("")
			}
			time.AfterFunc(5*time.Millisecond, func() { g.gate.cancel() })
			<-ctx.Done()
			return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
		})
		a := g.Do(t.Context(), gatedRequest(true, 500*time.Millisecond))
		if a.Outcome != model.OutcomeAnswered || len(g.net.sent) != 2 || g.net.sent[0] != g.net.sent[1] {
			t.Errorf("answer %+v after %q", a, g.net.sent)
		}
	})
}

// Without its recorded intent a request is not sent, and holds neither a slot
// nor a place at an endpoint.
func TestIntentComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGated(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return shed })
		req := gatedRequest(false, 500*time.Millisecond)
		intents := 0
		req.RecordIntent = func(context.Context) error { intents++; return errors.New("witness unreachable") }
		a := g.Do(t.Context(), req)
		if a.Outcome != model.OutcomeNotRun || a.Reason != "no-intent" || len(g.net.sent) != 0 || g.table.Counts(time.Now()).InFlight != 0 || len(g.gate.back) != 1 {
			t.Errorf("answer %+v after %d attempts, %+v", a, len(g.net.sent), g.table.Counts(time.Now()))
		}
		intents = 0
		req.RecordIntent = func(context.Context) error { intents++; return nil }
		if g.Do(t.Context(), req); intents != 1 || len(g.net.sent) < 2 {
			t.Errorf("%d intents for %d attempts, want 1", intents, len(g.net.sent))
		}
	})
}

// The quarantine hears the end of each attempt: crashed only if the endpoint
// broke the connection. A refused request is not sent; an isolated one has its
// endpoint for itself.
func TestQuarantineOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replies := []exchange.Result{broken, shed, unreachable, {Outcome: exchange.Unknown, Err: errors.New("silent")}, ok("")}
		for i, want := range []string{"crashed true", "cancelled", "cancelled", "cancelled", "crashed false"} {
			g := newGated(4, func(_ context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				if n > 1 {
					return ok("")
				}
				return replies[i]
			})
			g.Do(t.Context(), gatedRequest(false, 500*time.Millisecond))
			if g.quarantine.ends[0] != want || g.quarantine.open != 0 {
				t.Errorf("reply %d: %q, want %q first", i, g.quarantine.ends, want)
			}
		}
		g := newGated(4, nil)
		g.quarantine.verdict = forward.VerdictRefuse
		if a := g.Do(t.Context(), gatedRequest(false, time.Second)); a.Reason != forward.ReasonQuarantined || a.Outcome != model.OutcomeNotRun || g.gate.given != 0 {
			t.Errorf("answer %+v", a)
		}
		together, most := 0, 0
		var mu sync.Mutex
		g = newGated(4, func(_ context.Context, _ int, to exchange.Target, _ *exchange.Call) exchange.Result {
			mu.Lock()
			if to.ID == "e0" {
				together++
				most = max(most, together)
			}
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			if to.ID == "e0" {
				together--
			}
			mu.Unlock()
			return ok("")
		})
		g.quarantine.verdict = forward.VerdictIsolate
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { g.Do(t.Context(), gatedRequest(false, time.Second)) })
		}
		wg.Wait()
		if most != 1 {
			t.Errorf("%d isolated requests at one endpoint", most)
		}
	})
}

// A repetition by the caller beyond the budget is refused while the service
// fails, and served in an overload.
func TestRepetitionsOfCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply := serverError
		g := newGated(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return reply })
		req := gatedRequest(false, 500*time.Millisecond)
		req.CallerRetries = 1
		for range 200 {
			g.Do(t.Context(), gatedRequest(false, 500*time.Millisecond))
			g.Do(t.Context(), req)
		}
		if a := g.Do(t.Context(), req); a.Reason != "retry-budget" || a.Outcome != model.OutcomeNotRun {
			t.Errorf("while the service fails: %+v", a)
		}
		reply = ok("")
		for range 60 {
			time.Sleep(time.Second)
			g.Do(t.Context(), gatedRequest(false, 500*time.Millisecond))
		}
		if a := g.Do(t.Context(), gatedRequest(false, 500*time.Millisecond)); a.Outcome != model.OutcomeAnswered {
			t.Errorf("after the failure: %+v", a)
		}
	})
}

// Guards the honest outcome under any series of failures: "not run" only if no
// attempt can have run, work that may not be repeated runs at most once, every
// slot returns once and the quarantine hears each end.
func TestOutcomeProperty(t *testing.T) {
	kinds := map[string]exchange.Result{"answered": ok(""), "failed": serverError, "shed": shed, "unreachable": unreachable, "broken": broken}
	names := []string{"answered", "failed", "shed", "unreachable", "broken"}
	rapid.Check(t, func(rt *rapid.T) {
		series := rapid.SliceOfN(rapid.SampledFrom(names), 1, 12).Draw(rt, "series")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		synctest.Test(t, func(t *testing.T) {
			mayHaveRun := 0
			g := newGated(slots, func(_ context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				kind := series[min(n, len(series))-1]
				if kind == "answered" || kind == "failed" || kind == "broken" {
					mayHaveRun++
				}
				time.Sleep(10 * time.Millisecond)
				return kinds[kind]
			})
			a := g.Do(t.Context(), gatedRequest(repeatable, time.Second))
			g.Wait(t.Context())
			switch {
			case a.Outcome == model.OutcomeNotRun && mayHaveRun > 0:
				rt.Errorf("%q: told not run, %d attempts may have run", series, mayHaveRun)
			case !repeatable && mayHaveRun > 1:
				rt.Errorf("%q: work that may not be repeated may have run %d times", series, mayHaveRun)
			case a.Outcome == model.OutcomeAnswered && a.Response == nil:
				rt.Errorf("%q: answered without a response", series)
			case len(g.gate.back) != g.gate.given || g.quarantine.open != 0 || g.table.Counts(time.Now()).InFlight != 0:
				rt.Errorf("%q: %d of %d slots back, %d open in the quarantine, %+v", series, len(g.gate.back), g.gate.given, g.quarantine.open, g.table.Counts(time.Now()))
			}
		})
	})
}

// Pattern: connections go silent while all slots are in use. A repeatable request
// does not wait for its deadline on one: it gives its slot up, and the endpoint
// counts as failing.
func TestSilentAttemptWithoutAnotherSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGated(1, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
			if n > 1 {
				return ok("")
			}
			<-ctx.Done()
			return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
		})
		g.gate.order = g.gate.order[1:] // Region b, with two endpoints.
		began := time.Now()
		a := g.Do(t.Context(), gatedRequest(true, 2*time.Second))
		if a.Outcome != model.OutcomeAnswered || len(g.net.sent) != 2 || g.net.sent[0] == g.net.sent[1] || time.Since(began) > time.Second {
			t.Errorf("%s after %s at %q", a.Outcome, time.Since(began), g.net.sent)
		}
	})
}

// Pattern: requests with hardly any work. One that meets a pause of its endpoint is
// not given up.
func TestFastWorkIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGated(1, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
			work := 100 * time.Microsecond
			if n == 150 {
				work = 20 * time.Millisecond
			}
			select {
			case <-ctx.Done():
				return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
			case <-time.After(work):
				return ok("")
			}
		})
		g.gate.order = g.gate.order[:1] // No slot for a second attempt.
		for i := range 200 {
			if a := g.Do(t.Context(), gatedRequest(true, 2*time.Second)); a.Outcome != model.OutcomeAnswered || a.Attempts != 1 {
				t.Fatalf("request %d: %s after %d attempts", i, a.Outcome, a.Attempts)
			}
		}
	})
}
