package policytest

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// floodRuns is how many runs with other random numbers the floods are averaged
// over.
const floodRuns = 12

// measure plays a scenario in virtual time on one processor, so that the
// figures repeat exactly.
func measure(t *testing.T, s scenario, naive bool) figures {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var f figures
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s, naive)
		w.run()
		f = w.figures()
	})
	if s.seed == 0 {
		fmt.Println(row(s, map[bool]string{true: "naive", false: "product"}[naive], f))
	}
	return f
}

// both measures the baseline and the product side by side.
func both(t *testing.T, s scenario) (naive, product figures) {
	t.Helper()
	return measure(t, s, true), measure(t, s, false)
}

func within(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %.3f, want %.3f to %.3f", what, got, low, high)
	}
}

// Guards against reports that mislead: late ones, and slow endpoints that claim
// to be idle.
func TestPolicyReports(t *testing.T) {
	s := base("steady")
	_, p := both(t, s)
	within(t, "critical work answered", p.answered(1), 0.999, 1)
	s.name = "steady-late-and-idle-reports"
	s.prepare = func(w *world) {
		for i, e := range w.order {
			e.report = reportLate
			if i%3 == 0 {
				e.report, e.slow = reportIdle, 3
			}
		}
	}
	both(t, s)
}

// Guards the target that urgent work under a bulk overload of 10 x capacity
// stays within 5 % of its p99 and share without one. The p99 of one run rests on
// about 10 requests, so the test compares the means of several runs.
func TestPolicyBulkFlood(t *testing.T) {
	var p99, share [2]float64
	for seed := range uint64(floodRuns) {
		none, flood := base("bulk-flood-none"), base("bulk-flood")
		flood.loads = append(mix(), load{model.PriorityBulk, 10, warm - second, endOfLoad, 0})
		none.seed, flood.seed = seed, seed
		if seed == 0 {
			measure(t, flood, true)
		}
		for i, s := range []scenario{none, flood} {
			f := measure(t, s, false)
			p99[i] += ms(f.by[1].p99) / floodRuns
			share[i] += f.share[1] / floodRuns
			within(t, "critical work answered", f.answered(1), 0.999, 1)
		}
	}
	fmt.Printf("policy scenario=bulk-flood-ratio variant=product runs=%d p1_p99_ratio=%.3f p1_share_ratio=%.3f\n", floodRuns, p99[1]/p99[0], share[1]/share[0])
	within(t, "critical p99 to that without a flood", p99[1]/p99[0], 0, 1.05)
	within(t, "critical share to that without a flood", share[1]/share[0], 0.95, 1.05)
}

// Guards the target of a goodput of at least 95 % of capacity under an overload
// of urgent work of 5 x capacity, and the minimum shares of other work.
func TestPolicyCriticalFlood(t *testing.T) {
	var goodput, normal, bulk float64
	for seed := range uint64(floodRuns) {
		s := base("critical-flood")
		s.seed = seed
		s.loads = append(mix(), load{model.PriorityCritical, 5, warm - second, endOfLoad, 0})
		if seed == 0 {
			measure(t, s, true)
		}
		p := measure(t, s, false)
		goodput += p.goodput / floodRuns
		normal += p.held[2] / floodRuns
		bulk += p.held[3] / floodRuns
	}
	fmt.Printf("policy scenario=critical-flood-mean variant=product runs=%d p2_held=%.3f p3_held=%.3f goodput=%.3f\n", floodRuns, normal, bulk, goodput)
	within(t, "goodput", goodput, 0.95, 2)
	within(t, "slots held by normal work", normal, 0.05, 1)
	within(t, "slots held by bulk work", bulk, 0.05, 1)
}

// Guards the target of at most 1.1 attempts per request when a service is
// failing, callers' repetitions included.
func TestPolicyFailing(t *testing.T) {
	for name, f := range map[string]func(*endpoint){
		"failing-503":     func(e *endpoint) { e.failing = true },
		"failing-refuses": func(e *endpoint) { e.refusing = true },
	} {
		s := base(name)
		s.loads = []load{{model.PriorityCritical, 0.2, 0, endOfLoad, 0}, {model.PriorityNormal, 0.3, 0, endOfLoad, 0}}
		s.prepare = func(w *world) { w.change(f) }
		_, p := both(t, s)
		within(t, "attempts", p.attempts, 0, 1.1)
	}
}

// Guards against new work for leaving endpoints (P6): the list reaches the
// instances over 2 s, and later an older list without the mark arrives.
func TestPolicyDrain(t *testing.T) {
	s := base("drain")
	s.avoidFrom = warm
	s.affected = func(e *endpoint) bool { return e.ID == "lists-0" || e.ID == "lists-7" }
	leaving := func(w *world) []model.Endpoint {
		l := w.list()
		l[0].Leaving, l[7].Leaving = true, true
		return l
	}
	for i := range instances {
		lag := time.Duration(i) * 2 * second / instances
		s.events = append(s.events, event{warm + lag, func(w *world) { w.nodes[i].setEndpoints(leaving(w)) }})
	}
	s.events = append(s.events,
		event{warm + 3*second, func(w *world) { w.setEndpoints(w.list()) }},
		event{warm + 3*second, func(w *world) {
			w.change(func(e *endpoint) { e.shedding = s.affected(e) })
		}})
	_, p := both(t, s)
	within(t, "seconds to avoid", p.avoid.Seconds(), 0, 3)
	within(t, "sends later than 3 s", float64(p.late), 0, 0)
	within(t, "critical work answered", p.answered(1), 0.999, 1)
}

// Guards against callers with short deadlines that make healthy endpoints look
// unhealthy: half of the normal work has a deadline of 80 ms.
func TestPolicyShortDeadlines(t *testing.T) {
	s := base("short-deadlines")
	s.loads = []load{
		{model.PriorityCritical, 0.2, 0, endOfLoad, 0},
		{model.PriorityNormal, 0.15, 0, endOfLoad, 80 * time.Millisecond},
		{model.PriorityNormal, 0.15, 0, endOfLoad, 0},
		{model.PriorityBulk, 0.2, 0, endOfLoad, 0},
	}
	_, p := both(t, s)
	within(t, "critical work answered", p.answered(1), 0.999, 1)
}

// Guards against full load on endpoints that start cold.
func TestPolicyColdStart(t *testing.T) {
	s := base("cold-start")
	s.prepare = func(w *world) { w.setEndpoints(w.list()[:9]) }
	s.events = []event{{warm, func(w *world) {
		for _, e := range w.order[9:] {
			e.mu.Lock()
			e.coldUntil = time.Now().Add(coldTime)
			e.mu.Unlock()
		}
		w.setEndpoints(w.list())
	}}}
	both(t, s)
}

// Guards against work that keeps going to failed endpoints.
func TestPolicyFailures(t *testing.T) {
	for _, c := range []struct {
		name     string
		regions  []model.Region
		affected func(*endpoint) bool
		change   func(*endpoint)
	}{
		{"endpoints-refuse", nil, func(e *endpoint) bool { return e.ID == "lists-0" || e.ID == "lists-7" }, func(e *endpoint) { e.refusing = true }},
		{"endpoints-lost", nil, func(e *endpoint) bool { return e.ID == "lists-0" || e.ID == "lists-7" }, func(e *endpoint) { e.lost = true }},
		{"domain-lost", nil, func(e *endpoint) bool { return e.Domain == "lagos-b" }, func(e *endpoint) { e.lost = true }},
		{"region-lost", []model.Region{"lagos", "abuja", "port-harcourt"}, func(e *endpoint) bool { return e.Region == "abuja" }, func(e *endpoint) { e.lost = true }},
	} {
		s := base(c.name)
		s.regions, s.affected, s.avoidFrom = c.regions, c.affected, warm
		s.events = []event{{warm, func(w *world) {
			w.change(func(e *endpoint) {
				if c.affected(e) {
					c.change(e)
				}
			})
		}}}
		both(t, s)
	}
}

// silentConns is how many kept connections of an instance to an endpoint go
// silent: more than an instance uses at once in the steady load.
const silentConns = 3

// Guards against connections that go silent for ever while new ones work.
func TestPolicySilentConnections(t *testing.T) {
	s := base("silent-connections")
	s.events = []event{{warm, func(w *world) {
		for i, e := range w.order {
			e.mu.Lock()
			for j, n := range w.nodes {
				if (i+j)%3 == 0 {
					e.silent[n.id] = silentConns
				}
			}
			e.mu.Unlock()
		}
	}}}
	both(t, s)
}

// Guards against steering by old measurements: no load reports any more after
// the endpoints' loads were far apart.
func TestPolicyMeasurementsStop(t *testing.T) {
	s := base("measurements-stop")
	s.prepare = func(w *world) {
		for i, e := range w.order {
			e.slow = 1 + float64(i%2)
		}
	}
	s.events = []event{{warm, func(w *world) {
		w.change(func(e *endpoint) { e.report, e.slow = reportNone, 0 })
	}}}
	both(t, s)
}

// Guards against figures that do not repeat, with which no two changes can be
// compared.
func TestPolicyRepeats(t *testing.T) {
	s := base("repeat")
	s.loads = append(mix(), load{model.PriorityCritical, 3, warm, endOfLoad, 0})
	first, second := row(s, "product", measure(t, s, false)), row(s, "product", measure(t, s, false))
	if first != second {
		t.Errorf("figures differ:\n%s\n%s", first, second)
	}
}
