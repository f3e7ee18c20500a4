package policytest

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// floodRuns is the number of runs with different seeds over which the results
// of the flood scenarios are averaged.
const floodRuns = 12

// measure runs a scenario in virtual time on one processor, so that the figures
// are reproducible.
func measure(t *testing.T, s scenario, naive bool) figures {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var f figures
	synctest.Test(t, func(*testing.T) {
		w := newCluster(s, naive)
		w.run()
		f = w.figures()
	})
	if s.seed == 0 {
		fmt.Println(formatRow(s, map[bool]string{true: "naive", false: "product"}[naive], f))
	}
	return f
}

// compareVariants measures the scenario with the baseline and with the product.
func compareVariants(t *testing.T, s scenario) (naive, product figures) {
	t.Helper()
	return measure(t, s, true), measure(t, s, false)
}

func checkRange(t *testing.T, name string, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %v, want %v to %v", name, got, low, high)
	}
}

// Guards against failed critical requests under a steady load, and measures the
// effect of wrong load reports: outdated ones, and slow endpoints that always
// report no load.
func TestPolicyReports(t *testing.T) {
	s := newScenario("steady")
	_, p := compareVariants(t, s)
	checkRange(t, "share of critical requests answered", p.answered(1), 0.999, 1)
	s.name = "steady-late-and-idle-reports"
	s.prepare = func(w *cluster) {
		for i, e := range w.order {
			e.reportMode = reportLagging
			if i%3 == 0 {
				e.reportMode, e.slowFactor = reportIdle, 3
			}
		}
	}
	compareVariants(t, s)
}

// Guards against bulk requests that slow down critical ones: under a bulk load
// of 10 times the capacity, the p99 latency and the slot share of critical
// requests stay within 5 % of those without it. The p99 of one run depends on
// about 10 requests, so the test compares the means of several runs.
func TestPolicyBulkFlood(t *testing.T) {
	var p99, share [2]float64
	for seed := range uint64(floodRuns) {
		none, flood := newScenario("bulk-flood-none"), newScenario("bulk-flood")
		flood.loads = append(steadyLoad(), offeredLoad{model.PriorityBulk, 10, warmUp - second, endOfLoad, 0})
		none.seed, flood.seed = seed, seed
		if seed == 0 {
			measure(t, flood, true)
		}
		for i, s := range []scenario{none, flood} {
			f := measure(t, s, false)
			p99[i] += ms(f.byPriority[1].p99) / floodRuns
			share[i] += f.share[1] / floodRuns
			c := f.byPriority[model.PriorityCritical]
			name := fmt.Sprintf("%s, seed %d: share of critical requests answered (%d of %d)", s.name, seed, c.answered, c.offered)
			checkRange(t, name, f.answered(model.PriorityCritical), 0.999, 1)
		}
	}
	fmt.Printf("policy scenario=bulk-flood-ratio variant=product runs=%d p1_p99_ratio=%.3f p1_share_ratio=%.3f\n", floodRuns, p99[1]/p99[0], share[1]/share[0])
	checkRange(t, "p99 of critical requests relative to the run without the flood", p99[1]/p99[0], 0, 1.05)
	checkRange(t, "slot share of critical requests relative to the run without the flood", share[1]/share[0], 0.95, 1.05)
}

// Guards against goodput below 95 % of capacity under a critical load of 5 times
// the capacity, and against normal and bulk requests below their minimum share.
func TestPolicyCriticalFlood(t *testing.T) {
	var goodput, normal, bulk float64
	for seed := range uint64(floodRuns) {
		s := newScenario("critical-flood")
		s.seed = seed
		s.loads = append(steadyLoad(), offeredLoad{model.PriorityCritical, 5, warmUp - second, endOfLoad, 0})
		if seed == 0 {
			measure(t, s, true)
		}
		p := measure(t, s, false)
		goodput += p.goodput / floodRuns
		normal += p.held[2] / floodRuns
		bulk += p.held[3] / floodRuns
	}
	fmt.Printf("policy scenario=critical-flood-mean variant=product runs=%d p2_held=%.3f p3_held=%.3f goodput=%.3f\n", floodRuns, normal, bulk, goodput)
	checkRange(t, "goodput", goodput, 0.95, 2)
	checkRange(t, "share of slots held by normal requests", normal, 0.05, 1)
	checkRange(t, "share of slots held by bulk requests", bulk, 0.05, 1)
}

// Guards against retry storms when all endpoints of a service fail: at most 1.1
// attempts are sent for each caller request, callers' retries included.
func TestPolicyFailing(t *testing.T) {
	for name, f := range map[string]func(*endpoint){
		"failing-503":     func(e *endpoint) { e.failing = true },
		"failing-refuses": func(e *endpoint) { e.refusing = true },
	} {
		s := newScenario(name)
		s.loads = []offeredLoad{{model.PriorityCritical, 0.2, 0, endOfLoad, 0}, {model.PriorityNormal, 0.3, 0, endOfLoad, 0}}
		s.prepare = func(w *cluster) { w.updateEndpoints(f) }
		_, p := compareVariants(t, s)
		checkRange(t, "attempts per caller request", p.attempts, 0, 1.1)
	}
}

// Guards against new requests to leaving endpoints: the new endpoint list
// reaches the instances over 2 s, and later an older list, in which the
// endpoints are not leaving, arrives.
func TestPolicyDrain(t *testing.T) {
	s := newScenario("drain")
	s.avoidFrom = warmUp
	s.affected = func(e *endpoint) bool { return e.ID == "lists-0" || e.ID == "lists-7" }
	leaving := func(w *cluster) []model.Endpoint {
		l := w.endpointList()
		l[0].Leaving, l[7].Leaving = true, true
		return l
	}
	for i := range instanceCount {
		lag := time.Duration(i) * 2 * second / instanceCount
		s.events = append(s.events, event{warmUp + lag, func(w *cluster) { w.instances[i].setEndpoints(leaving(w)) }})
	}
	s.events = append(s.events,
		event{warmUp + 3*second, func(w *cluster) { w.setEndpoints(w.endpointList()) }},
		event{warmUp + 3*second, func(w *cluster) {
			w.updateEndpoints(func(e *endpoint) { e.shedding = s.affected(e) })
		}})
	_, p := compareVariants(t, s)
	checkRange(t, "seconds until requests avoid the leaving endpoints", p.avoid.Seconds(), 0, 3)
	checkRange(t, "attempts at leaving endpoints after 3 s", float64(p.lateSends), 0, 0)
	checkRange(t, "share of critical requests answered", p.answered(1), 0.999, 1)
}

// Guards against healthy endpoints that are taken for unhealthy ones because
// requests with short deadlines time out at them: half of the normal requests
// have a deadline of 80 ms.
func TestPolicyShortDeadlines(t *testing.T) {
	s := newScenario("short-deadlines")
	s.loads = []offeredLoad{
		{model.PriorityCritical, 0.2, 0, endOfLoad, 0},
		{model.PriorityNormal, 0.15, 0, endOfLoad, 80 * time.Millisecond},
		{model.PriorityNormal, 0.15, 0, endOfLoad, 0},
		{model.PriorityBulk, 0.2, 0, endOfLoad, 0},
	}
	_, p := compareVariants(t, s)
	checkRange(t, "share of critical requests answered", p.answered(1), 0.999, 1)
}

// Measures the effect of new endpoints that are slow after their start.
func TestPolicyColdStart(t *testing.T) {
	s := newScenario("cold-start")
	s.prepare = func(w *cluster) { w.setEndpoints(w.endpointList()[:9]) }
	s.events = []event{{warmUp, func(w *cluster) {
		for _, e := range w.order[9:] {
			e.mu.Lock()
			e.coldUntil = time.Now().Add(coldStartTime)
			e.mu.Unlock()
		}
		w.setEndpoints(w.endpointList())
	}}}
	compareVariants(t, s)
}

// Measures how soon requests avoid failed endpoints.
func TestPolicyFailures(t *testing.T) {
	for _, c := range []struct {
		name     string
		regions  []model.Region
		affected func(*endpoint) bool
		change   func(*endpoint)
	}{
		{"endpoints-refuse", nil, func(e *endpoint) bool { return e.ID == "lists-0" || e.ID == "lists-7" }, func(e *endpoint) { e.refusing = true }},
		{"endpoints-lost", nil, func(e *endpoint) bool { return e.ID == "lists-0" || e.ID == "lists-7" }, func(e *endpoint) { e.unresponsive = true }},
		{"domain-lost", nil, func(e *endpoint) bool { return e.Domain == "lagos-b" }, func(e *endpoint) { e.unresponsive = true }},
		{"region-lost", []model.Region{"lagos", "abuja", "port-harcourt"}, func(e *endpoint) bool { return e.Region == "abuja" }, func(e *endpoint) { e.unresponsive = true }},
	} {
		s := newScenario(c.name)
		s.regions, s.affected, s.avoidFrom = c.regions, c.affected, warmUp
		s.events = []event{{warmUp, func(w *cluster) {
			w.updateEndpoints(func(e *endpoint) {
				if c.affected(e) {
					c.change(e)
				}
			})
		}}}
		compareVariants(t, s)
	}
}

// silentConns is the number of idle connections from an instance to an endpoint
// that become silent: more than an instance uses at once under the steady load.
const silentConns = 3

// Measures the effect of established connections that drop all packets while
// new connections work.
func TestPolicySilentConnections(t *testing.T) {
	s := newScenario("silent-connections")
	s.events = []event{{warmUp, func(w *cluster) {
		for i, e := range w.order {
			e.mu.Lock()
			for j, n := range w.instances {
				if (i+j)%3 == 0 {
					e.silent[n.id] = silentConns
				}
			}
			e.mu.Unlock()
		}
	}}}
	compareVariants(t, s)
}

// Measures the effect of outdated load reports: endpoints stop reporting, and
// the slow ones become as fast as the others.
func TestPolicyMeasurementsStop(t *testing.T) {
	s := newScenario("measurements-stop")
	s.prepare = func(w *cluster) {
		for i, e := range w.order {
			e.slowFactor = 1 + float64(i%2)
		}
	}
	s.events = []event{{warmUp, func(w *cluster) {
		w.updateEndpoints(func(e *endpoint) { e.reportMode, e.slowFactor = reportNone, 0 })
	}}}
	compareVariants(t, s)
}

// Guards against figures that differ between runs with the same seed: the
// effect of a change to the software could then not be measured.
func TestPolicyRepeats(t *testing.T) {
	s := newScenario("repeat")
	s.loads = append(steadyLoad(), offeredLoad{model.PriorityCritical, 3, warmUp, endOfLoad, 0})
	first, second := formatRow(s, "product", measure(t, s, false)), formatRow(s, "product", measure(t, s, false))
	if first != second {
		t.Errorf("figures differ:\n%s\n%s", first, second)
	}
}
