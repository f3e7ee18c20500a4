package policytest

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	second    = time.Second
	warm      = 3 * second
	measured  = 5 * second
	endOfLoad = warm + measured
)

// measure plays a scenario in virtual time on one processor, so that the
// figures repeat exactly.
func measure(t *testing.T, s scenario, naive bool) figures {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var f figures
	variant := map[bool]string{true: "naive", false: "product"}[naive]
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s, naive)
		w.run()
		f = w.figures()
	})
	fmt.Println(row(s, variant, f))
	return f
}

// both measures the baseline and the product side by side.
func both(t *testing.T, s scenario) (naive, product figures) {
	t.Helper()
	return measure(t, s, true), measure(t, s, false)
}

// mix is the steady load: 70 % of capacity.
func mix() []load {
	return []load{
		{model.PriorityCritical, 0.2, 0, endOfLoad},
		{model.PriorityNormal, 0.3, 0, endOfLoad},
		{model.PriorityBulk, 0.2, 0, endOfLoad},
	}
}

func base(name string) scenario {
	return scenario{
		name: name, loads: mix(), from: warm, to: endOfLoad,
		minimum: map[model.Priority]float64{model.PriorityBulk: 0.05, model.PriorityNormal: 0.05},
	}
}

func TestPolicySteadyReports(t *testing.T) {
	s := base("steady")
	both(t, s)
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

func TestPolicyBulkFlood(t *testing.T) {
	s := base("bulk-flood")
	without := measure(t, base("bulk-flood-none"), false)
	s.loads = append(mix(), load{model.PriorityBulk, 10, warm - second, endOfLoad})
	_, with := both(t, s)
	_ = without
	_ = with
}

func TestPolicyCriticalFlood(t *testing.T) {
	s := base("critical-flood")
	s.loads = append(mix(), load{model.PriorityCritical, 5, warm - second, endOfLoad})
	both(t, s)
}

func TestPolicyFailing(t *testing.T) {
	s := base("failing-503")
	s.events = []event{{warm, func(w *world) {
		w.change(func(e *endpoint) { e.failing = true })
	}}}
	both(t, s)
}
