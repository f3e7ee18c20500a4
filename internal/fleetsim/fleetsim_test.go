package fleetsim

import (
	"fmt"
	"testing"
)

// Guards against a policy that is no better than random endpoints, and against
// shifts of load between regions above the limit: in every pattern more requests
// must be on time than with random endpoints, and without events the largest
// shift must stay within MaxShift.
func TestPatternsAgainstNaive(t *testing.T) {
	for _, name := range PatternNames() {
		t.Run(name, func(t *testing.T) {
			product, naive := Patterns[name](), Patterns[name]()
			naive.Naive = true
			p, n := Run(product), Run(naive)
			t.Logf("%-16s product: on time %.3f, answered %.3f, worst window %.3f, largest shift %.3f; naive: on time %.3f, answered %.3f, worst window %.3f",
				name, p.OnTimeShare(), p.AnsweredShare(), p.WorstWindow, p.MaxShift, n.OnTimeShare(), n.AnsweredShare(), n.WorstWindow)
			if p.OnTimeShare() <= n.OnTimeShare() {
				t.Errorf("share of requests on time %.3f, want more than naive %.3f", p.OnTimeShare(), n.OnTimeShare())
			}
			if len(product.Events) == 0 && p.MaxShift > product.MaxShift {
				t.Errorf("load shift of a region %.3f, want at most %.2f", p.MaxShift, product.MaxShift)
			}
		})
	}
}

// Guards against instances that exceed the rate limit of an endpoint together. The
// naive variant, in which each instance keeps the limit by itself, does.
func TestRateLimitIsKeptByAllInstancesTogether(t *testing.T) {
	const allowed = int(1.5*limitedRate*4) + 5
	for seed := range uint64(5) {
		c := limitedEndpoints()
		c.Seed = seed
		separate := c
		separate.SeparateLimits = true
		shared, naive := Run(c), Run(separate)
		t.Logf("seed %d: at most %d requests in %s, on time %.3f; naive %d, on time %.3f; %d allowed",
			seed, shared.MaxLimited, limitWindow, shared.OnTimeShare(), naive.MaxLimited, naive.OnTimeShare(), allowed)
		if shared.MaxLimited > allowed || shared.MaxLimited == 0 {
			t.Errorf("seed %d: %d requests in %s at an endpoint with a limit of %d/s, want 1 to %d", seed, shared.MaxLimited, limitWindow, limitedRate, allowed)
		}
		if naive.MaxLimited <= allowed {
			t.Errorf("seed %d: the naive variant keeps the limit with %d requests", seed, naive.MaxLimited)
		}
	}
}

// Guards against runs with the same seed that differ.
func TestRunsRepeat(t *testing.T) {
	a, b := Run(calm()), Run(calm())
	if fmt.Sprint(a.Requests, a.OnTime, a.Late, a.Refused) != fmt.Sprint(b.Requests, b.OnTime, b.Late, b.Refused) {
		t.Fatalf("results of the same seed differ: %+v and %+v", a, b)
	}
}

// Guards against requests that are counted twice or not at all. Up to 2 % may be
// in progress when the run ends.
func TestRequestsAddUp(t *testing.T) {
	for _, name := range PatternNames() {
		r := Run(Patterns[name]())
		if open := r.Requests - r.OnTime - r.Late - r.Refused - r.TimedOut; open < 0 || open > r.Requests/50 {
			t.Errorf("%s: %d of %d requests without an outcome, want 0 to 2 %%", name, open, r.Requests)
		}
	}
}
