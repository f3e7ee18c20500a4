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

// fakeAdmission is an AdmissionController with slots in two regions. It
// records how each slot is released.
type fakeAdmission struct {
	mu       sync.Mutex
	free     map[model.Region]int
	order    []model.Region
	granted  int
	releases []string
	cancel   func()
}

func newFakeAdmission(slots int) *fakeAdmission {
	return &fakeAdmission{free: map[model.Region]int{"a": slots, "b": slots}, order: []model.Region{"a", "b"}}
}

func (g *fakeAdmission) take(n forward.AdmissionRequest) *fakePermit {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.order {
		if g.free[r] > 0 && !slices.Contains(n.Exclude, r) {
			g.free[r]--
			g.granted++
			return &fakePermit{admission: g, region: r}
		}
	}
	return nil
}

func (g *fakeAdmission) Admit(ctx context.Context, n forward.AdmissionRequest) (forward.Permit, error) {
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

func (g *fakeAdmission) TryAdmit(_ time.Time, n forward.AdmissionRequest) (forward.Permit, bool) {
	p := g.take(n)
	return p, p != nil
}

func (g *fakeAdmission) released(how string, r model.Region) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releases = append(g.releases, how)
	g.free[r]++
}

type fakePermit struct {
	admission *fakeAdmission
	region    model.Region
}

func (p *fakePermit) Region() model.Region   { return p.region }
func (p *fakePermit) Release()               { p.admission.released("now", p.region) }
func (p *fakePermit) Answered(time.Duration) {}
func (p *fakePermit) ReleaseAt(t time.Time) {
	p.admission.released(fmt.Sprint("after ", time.Until(t).Round(10*time.Millisecond)), p.region)
}
func (p *fakePermit) Preemptible(cancel func()) {
	p.admission.mu.Lock()
	p.admission.cancel = cancel
	p.admission.mu.Unlock()
}

// fakeQuarantine is a Quarantine that records its calls.
type fakeQuarantine struct {
	mu      sync.Mutex
	verdict forward.Verdict
	open    int
	ends    []string
}

func (q *fakeQuarantine) Check(uint64) forward.Verdict { return q.verdict }
func (q *fakeQuarantine) note(open int, end string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open += open
	if end != "" {
		q.ends = append(q.ends, end)
	}
}
func (q *fakeQuarantine) Started(uint64, model.EndpointID) { q.note(1, "") }
func (q *fakeQuarantine) Finished(_ uint64, _ model.EndpointID, crashed bool) {
	q.note(-1, fmt.Sprint("crashed ", crashed))
}
func (q *fakeQuarantine) Cancelled(uint64, model.EndpointID) { q.note(-1, "cancelled") }

// admittedEngine is an engine behind admission control, with one endpoint in
// region a and two in region b.
type admittedEngine struct {
	*forward.Engine
	transport  *fakeTransport
	admission  *fakeAdmission
	quarantine *fakeQuarantine
	table      *steering.Table
}

func newAdmittedEngine(slots int, reply func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result) *admittedEngine {
	g := &admittedEngine{transport: &fakeTransport{reply: reply}, admission: newFakeAdmission(slots), quarantine: &fakeQuarantine{}}
	g.table = steering.New(steering.Config{Self: "i1", Domain: "a1", Region: "a", MaxShift: 1, Rand: rand.New(rand.NewPCG(1, 2))})
	for i, r := range []model.Region{"a", "b", "b"} {
		g.table.Put(steering.Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Service: "s", Region: r, Domain: model.Domain(r), Slots: 4,
			Addr: netip.MustParseAddrPort("10.0.0.1:80")}, time.Now())
	}
	state := desired.New(1, nil, []desired.Service{{Name: "s", MaxConnections: 100}}, desired.Limits{})
	g.Engine = forward.NewEngine(forward.EngineConfig{Log: events.Nop(), Table: g.table, Transport: g.transport,
		Budget: forward.NewBudget(forward.BudgetConfig{Ratio: 0.2, Slack: 120, Window: 10 * time.Second}),
		Rand:   rand.New(rand.NewPCG(3, 4)), State: func() *desired.State { return state }, Instances: func() int { return 1 },
		OnUnreachable: func(steering.Endpoint, error) {}, Admission: g.admission, Quarantine: g.quarantine})
	return g
}

func testRequest(repeatable bool, wait time.Duration) *forward.Request {
	now := time.Now()
	return &forward.Request{ID: "r1", Arrived: now, Deadline: now.Add(wait), SoftDeadline: now.Add(wait), Method: "POST", Target: "/x",
		Route: &desired.Route{Name: "r", Repeatable: repeatable, Rank: 1, MaxAttempts: 3, TargetLatency: 20 * time.Millisecond,
			TrafficSplit: []desired.WeightedService{{Service: "s", Weight: 1}}}}
}

// Guards against releasing a slot too early or too late: it must be released
// immediately if the endpoint can no longer be executing the request, and
// otherwise at the deadline.
func TestSlotReleaseAfterAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		reply      exchange.Result
		release    string
	}{
		{"answered", false, ok(""), "now"},
		{"refused", false, shed, "now"},
		{"not sent", false, unreachable, "now"},
		{"broken", false, broken, "after 500ms"},
		{"broken, repeatable", true, broken, "after 500ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newAdmittedEngine(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return c.reply })
				g.Do(t.Context(), testRequest(c.repeatable, 500*time.Millisecond))
				if g.admission.releases[0] != c.release || len(g.admission.releases) != g.admission.granted {
					t.Errorf("slots released %q, %d granted; want the first %q", g.admission.releases, g.admission.granted, c.release)
				}
				if g.quarantine.open != 0 {
					t.Errorf("%d attempts open in the quarantine", g.quarantine.open)
				}
			})
		})
	}
}

// A caller disconnects: the slot must be released as soon as the endpoint has
// received the cancellation, or at the deadline if the request is not
// repeatable and therefore continues.
func TestSlotIsReleasedWhenCallerDisconnects(t *testing.T) {
	for repeatable, want := range map[bool]string{true: "after 10ms", false: "after 300ms"} {
		synctest.Test(t, func(t *testing.T) {
			g := newAdmittedEngine(1, func(ctx context.Context, _ int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				select {
				case <-ctx.Done():
					return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
				case <-time.After(200 * time.Millisecond):
					return broken
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			req := testRequest(repeatable, 500*time.Millisecond)
			req.Route.MaxAttempts = 1 // Prevents a second attempt.
			if a := g.Do(ctx, req); !a.CallerGone {
				t.Errorf("answer %+v", a)
			}
			g.Wait(t.Context())
			if len(g.admission.releases) != 1 || g.admission.releases[0] != want {
				t.Errorf("repeatable %v: slots released %q, want %q", repeatable, g.admission.releases, want)
			}
		})
	}
}

// If all endpoints of a region were tried, the request must get a slot in
// another region. Without any endpoint it must be refused, with all slots
// released.
func TestRegionWithoutEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAdmittedEngine(4, func(_ context.Context, _ int, to exchange.Target, _ *exchange.Call) exchange.Result {
			if to.ID == "e0" {
				return unreachable
			}
			return ok("")
		})
		if a := g.Do(t.Context(), testRequest(false, 500*time.Millisecond)); a.Response == nil || !slices.Equal(g.transport.sent[:1], []string{"e0"}) || len(g.transport.sent) != 2 {
			t.Errorf("answer %+v after %q", a, g.transport.sent)
		}
		for _, id := range []model.EndpointID{"e0", "e1", "e2"} {
			g.table.Remove(id, time.Now())
		}
		a := g.Do(t.Context(), testRequest(false, 500*time.Millisecond))
		if a.Outcome != model.OutcomeNotRun || a.Reason != "no-endpoint" || len(g.admission.releases) != g.admission.granted {
			t.Errorf("answer %+v, %d of %d slots released", a, len(g.admission.releases), g.admission.granted)
		}
	})
}

// A request that gets no slot before its deadline must end then, with the
// outcome not-run.
func TestNoSlotBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAdmittedEngine(0, nil)
		began := time.Now()
		a := g.Do(t.Context(), testRequest(true, 300*time.Millisecond))
		if a.Outcome != model.OutcomeNotRun || a.Reason != "deadline" || time.Since(began) != 300*time.Millisecond {
			t.Errorf("answer %+v after %s", a, time.Since(began))
		}
	})
}

// A preempted attempt must be retried, and its endpoint must not be excluded
// as after a failure.
func TestPreemptedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g *admittedEngine
		g = newAdmittedEngine(1, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
			if n > 1 {
				return ok("")
			}
			time.AfterFunc(5*time.Millisecond, func() { g.admission.cancel() })
			<-ctx.Done()
			return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
		})
		a := g.Do(t.Context(), testRequest(true, 500*time.Millisecond))
		if a.Outcome != model.OutcomeAnswered || len(g.transport.sent) != 2 || g.transport.sent[0] != g.transport.sent[1] {
			t.Errorf("answer %+v after %q", a, g.transport.sent)
		}
	})
}

// Guards against sending a request whose intent is not recorded, and against
// keeping its slot or its load at the endpoint.
func TestIntentIsRecordedBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAdmittedEngine(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return shed })
		req := testRequest(false, 500*time.Millisecond)
		intents := 0
		req.RecordIntent = func(context.Context) error { intents++; return errors.New("witness unreachable") }
		a := g.Do(t.Context(), req)
		if a.Outcome != model.OutcomeNotRun || a.Reason != "no-intent" || len(g.transport.sent) != 0 || g.table.Counts(time.Now()).InFlight != 0 || len(g.admission.releases) != 1 {
			t.Errorf("answer %+v after %d attempts, %+v", a, len(g.transport.sent), g.table.Counts(time.Now()))
		}
		intents = 0
		req.RecordIntent = func(context.Context) error { intents++; return nil }
		if g.Do(t.Context(), req); intents != 1 || len(g.transport.sent) < 2 {
			t.Errorf("%d intents for %d attempts, want 1", intents, len(g.transport.sent))
		}
	})
}

// The quarantine must learn of the end of each attempt, as a crash only if
// the endpoint broke the connection. A refused request must not be sent, and
// an isolated one must have its endpoint for itself.
func TestQuarantineOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replies := []exchange.Result{broken, shed, unreachable, {Outcome: exchange.Unknown, Err: errors.New("silent")}, ok("")}
		for i, want := range []string{"crashed true", "cancelled", "cancelled", "cancelled", "crashed false"} {
			g := newAdmittedEngine(4, func(_ context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				if n > 1 {
					return ok("")
				}
				return replies[i]
			})
			g.Do(t.Context(), testRequest(false, 500*time.Millisecond))
			if g.quarantine.ends[0] != want || g.quarantine.open != 0 {
				t.Errorf("reply %d: %q, want %q first", i, g.quarantine.ends, want)
			}
		}
		g := newAdmittedEngine(4, nil)
		g.quarantine.verdict = forward.VerdictRefuse
		if a := g.Do(t.Context(), testRequest(false, time.Second)); a.Reason != forward.ReasonQuarantined || a.Outcome != model.OutcomeNotRun || g.admission.granted != 0 {
			t.Errorf("answer %+v", a)
		}
		running, maxRunning := 0, 0
		var mu sync.Mutex
		g = newAdmittedEngine(4, func(_ context.Context, _ int, to exchange.Target, _ *exchange.Call) exchange.Result {
			mu.Lock()
			if to.ID == "e0" {
				running++
				maxRunning = max(maxRunning, running)
			}
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			if to.ID == "e0" {
				running--
			}
			mu.Unlock()
			return ok("")
		})
		g.quarantine.verdict = forward.VerdictIsolate
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { g.Do(t.Context(), testRequest(false, time.Second)) })
		}
		wg.Wait()
		if maxRunning != 1 {
			t.Errorf("%d isolated requests at one endpoint", maxRunning)
		}
	})
}

// A caller's retry beyond the budget must be refused while the service fails,
// and served in an overload.
func TestCallerRetriesBeyondBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply := serverError
		g := newAdmittedEngine(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return reply })
		req := testRequest(false, 500*time.Millisecond)
		req.CallerRetries = 1
		for range 200 {
			g.Do(t.Context(), testRequest(false, 500*time.Millisecond))
			g.Do(t.Context(), req)
		}
		if a := g.Do(t.Context(), req); a.Reason != "retry-budget" || a.Outcome != model.OutcomeNotRun {
			t.Errorf("while the service fails: %+v", a)
		}
		reply = ok("")
		for range 60 {
			time.Sleep(time.Second)
			g.Do(t.Context(), testRequest(false, 500*time.Millisecond))
		}
		if a := g.Do(t.Context(), testRequest(false, 500*time.Millisecond)); a.Outcome != model.OutcomeAnswered {
			t.Errorf("after the failure: %+v", a)
		}
	})
}

// For any series of failures: the outcome is not-run only if no attempt can
// have run, a non-repeatable request runs at most once, every slot is
// released exactly once, and the quarantine learns of the end of each
// attempt.
func TestOutcomeProperty(t *testing.T) {
	kinds := map[string]exchange.Result{"answered": ok(""), "failed": serverError, "shed": shed, "unreachable": unreachable, "broken": broken}
	names := []string{"answered", "failed", "shed", "unreachable", "broken"}
	rapid.Check(t, func(rt *rapid.T) {
		series := rapid.SliceOfN(rapid.SampledFrom(names), 1, 12).Draw(rt, "series")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		synctest.Test(t, func(t *testing.T) {
			mayHaveRun := 0
			g := newAdmittedEngine(slots, func(_ context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				kind := series[min(n, len(series))-1]
				if kind == "answered" || kind == "failed" || kind == "broken" {
					mayHaveRun++
				}
				time.Sleep(10 * time.Millisecond)
				return kinds[kind]
			})
			a := g.Do(t.Context(), testRequest(repeatable, time.Second))
			g.Wait(t.Context())
			switch {
			case a.Outcome == model.OutcomeNotRun && mayHaveRun > 0:
				rt.Errorf("%q: outcome is not run, but %d attempts may have run", series, mayHaveRun)
			case !repeatable && mayHaveRun > 1:
				rt.Errorf("%q: non-repeatable request may have run %d times", series, mayHaveRun)
			case a.Outcome == model.OutcomeAnswered && a.Response == nil:
				rt.Errorf("%q: answered without a response", series)
			case len(g.admission.releases) != g.admission.granted || g.quarantine.open != 0 || g.table.Counts(time.Now()).InFlight != 0:
				rt.Errorf("%q: %d of %d slots released, %d attempts open in the quarantine, %+v", series, len(g.admission.releases), g.admission.granted, g.quarantine.open, g.table.Counts(time.Now()))
			}
		})
	})
}

// Connections stop responding while all slots are in use: a repeatable
// request must not wait for its deadline but release its slot, and the
// endpoint must count as failing.
func TestSilentAttemptReleasesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAdmittedEngine(1, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
			if n > 1 {
				return ok("")
			}
			<-ctx.Done()
			return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
		})
		g.admission.order = g.admission.order[1:] // Region b, with two endpoints.
		began := time.Now()
		a := g.Do(t.Context(), testRequest(true, 2*time.Second))
		if a.Outcome != model.OutcomeAnswered || len(g.transport.sent) != 2 || g.transport.sent[0] == g.transport.sent[1] || time.Since(began) > time.Second {
			t.Errorf("%s after %s at %q", a.Outcome, time.Since(began), g.transport.sent)
		}
	})
}

// Guards against cancelling a request whose response is slow if there is no other endpoint
// for it: the response would be lost, and the request end without one at its deadline.
func TestSlowResponseOfTheOnlyEndpoint(t *testing.T) {
	const work, wait = 300 * time.Millisecond, 2 * time.Second
	for _, slots := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			g := newAdmittedEngine(slots, func(ctx context.Context, _ int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				select {
				case <-ctx.Done():
					return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
				case <-time.After(work):
					return ok("")
				}
			})
			g.admission.order = g.admission.order[:1] // Region a, with one endpoint.
			if a := g.Do(t.Context(), testRequest(true, wait)); a.Outcome != model.OutcomeAnswered {
				t.Errorf("%d slots: %s (%s) after %d attempts", slots, a.Outcome, a.Reason, a.Attempts)
			}
		})
	}
}

// Guards against cancelling a request with a very short processing time as soon
// as its endpoint pauses, for example for a garbage collection.
func TestFastRequestSurvivesEndpointPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAdmittedEngine(1, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
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
		g.admission.order = g.admission.order[:1] // No slot for a second attempt.
		for i := range 200 {
			if a := g.Do(t.Context(), testRequest(true, 2*time.Second)); a.Outcome != model.OutcomeAnswered || a.Attempts != 1 {
				t.Fatalf("request %d: %s after %d attempts", i, a.Outcome, a.Attempts)
			}
		}
	})
}
