package fleetsim

import (
	"fmt"
	"testing"
)

// In every pattern more requests are on time than with random endpoints, the
// cap on shifts holds unless endpoints are lost, and no answer gets lost.
func TestPatternsAgainstNaive(t *testing.T) {
	for _, name := range PatternNames() {
		t.Run(name, func(t *testing.T) {
			product, naive := Patterns[name](), Patterns[name]()
			naive.Naive = true
			p, n := Run(product), Run(naive)
			t.Logf("%-16s product: on time %.3f, served %.3f, worst window %.3f, largest shift %.3f; naive: on time %.3f, served %.3f, worst window %.3f",
				name, p.OnTimeShare(), p.AnsweredShare(), p.WorstWindow, p.MaxShift, n.OnTimeShare(), n.AnsweredShare(), n.WorstWindow)
			if p.OnTimeShare() <= n.OnTimeShare() {
				t.Errorf("on time %.3f, naive %.3f", p.OnTimeShare(), n.OnTimeShare())
			}
			if len(product.Events) == 0 && p.MaxShift > product.MaxShift {
				t.Errorf("a region's share changed by %.3f, allowed %.2f", p.MaxShift, product.MaxShift)
			}
		})
	}
}

// A seed decides a run.
func TestRunsRepeat(t *testing.T) {
	a, b := Run(calm()), Run(calm())
	if fmt.Sprint(a.Requests, a.OnTime, a.Late, a.Refused) != fmt.Sprint(b.Requests, b.OnTime, b.Late, b.Refused) {
		t.Fatalf("%+v and %+v", a, b)
	}
}

// Every request ends in one way.
func TestRequestsAddUp(t *testing.T) {
	for _, name := range PatternNames() {
		r := Run(Patterns[name]())
		if open := r.Requests - r.OnTime - r.Late - r.Refused - r.TimedOut; open < 0 || open > r.Requests/50 {
			t.Errorf("%s: %d of %d requests have no end", name, open, r.Requests)
		}
	}
}
