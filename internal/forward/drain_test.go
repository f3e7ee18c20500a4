package forward

import (
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
)

// Guards against a shutdown that takes requests which it cannot finish, and against one
// that refuses requests earlier than it has to. The grace periods are those of the
// deployments.
func TestWhatAStoppingHandlerTakes(t *testing.T) {
	const ms = time.Millisecond
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		window, took, slowest, deadline time.Duration
		measured                        int
		until                           time.Duration // The last time at which the request is taken.
	}{
		"short requests, while the estimate decides":       {5600 * ms, 600 * ms, 600 * ms, 4 * time.Second, 100, 2500 * ms},
		"short requests with short deadlines, until late":  {5600 * ms, 600 * ms, 600 * ms, time.Second, 100, 4400 * ms},
		"long requests, at once":                           {9500 * ms, 6240 * ms, 6240 * ms, 25 * time.Second, 100, 1400 * ms},
		"judged by the slowest in a hundred, not the mean": {5600 * ms, 300 * ms, 2000 * ms, 4 * time.Second, 100, 2500 * ms},
		"bounded by the deadline":                          {5600 * ms, 6240 * ms, 6240 * ms, 500 * ms, 100, 4900 * ms},
		"unknown, the first half":                          {5600 * ms, 0, 0, 10 * time.Second, 0, 2500 * ms},
		"unknown, bounded by the deadline":                 {5600 * ms, 0, 0, 500 * ms, 0, 4900 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			h := &Engine{times: newRequestTimes()}
			route := &desired.Route{Name: "r", TargetLatency: 600 * ms}
			for i := range test.measured {
				took := test.took
				if i%50 == 0 {
					took = test.slowest
				}
				h.times.record(route, "s", took)
			}
			if a := h.refuseUnfinishable(&Request{Route: route, Deadline: at.Add(test.deadline)}, at); a != nil {
				t.Error("refused before the shutdown")
			}
			h.StopAt(at, at.Add(test.window))
			last := time.Duration(-1)
			for after := time.Duration(0); after < test.window; after += 10 * ms {
				now := at.Add(after)
				if h.refuseUnfinishable(&Request{Route: route, Deadline: now.Add(test.deadline)}, now) == nil {
					last = after
				}
			}
			if diff := last - test.until; diff < -100*ms || diff > 400*ms {
				t.Errorf("taken until %s, want %s", last, test.until)
			}
			if finished := last + min(test.slowest, test.deadline); finished > test.window {
				t.Errorf("a request taken at %s ends %s after the stop", last, finished-test.window)
			}
		})
	}
}

// Guards against times of a busier past that decide for good.
func TestMeasuredTimesFollowChanges(t *testing.T) {
	h := &timeHistogram{}
	for range 1000 {
		h.add(5 * time.Second)
	}
	for range 10_000 {
		h.add(100 * time.Millisecond)
	}
	if got, ok := h.quantile(finishQuantile); !ok || got > 130*time.Millisecond {
		t.Errorf("quantile %s, %v", got, ok)
	}
}
