package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// TestPolicyShift prints the measured policy of a planned move and of a forced
// one, of 20 instances under a cap of 10 % in 10 s. The naive variant moves at
// once. It guards against an overshoot of the cap.
func TestPolicyShift(t *testing.T) {
	const period, fraction = 10 * time.Second, 0.1
	for _, variant := range []string{"naive", "product"} {
		f := &fleet{}
		set := testRules(fraction, period, "a", "b")
		for range 20 {
			f.add(set, Shares{"a": 1})
		}
		r := rand.New(rand.NewPCG(5, 6))
		play := func(d time.Duration, wish ...model.Region) {
			for end := f.now + d; f.now < end; f.now += time.Millisecond {
				i := r.IntN(len(f.limiters))
				if variant == "naive" {
					f.sent = append(f.sent, fleetRequest{f.now, wish[0], i})
					continue
				}
				f.decide(i, wish...)
			}
		}
		play(3*period, "a")
		planned := f.now
		play(25*period, "b", "a")
		moved := f.reached("b", planned, 0.95)
		f.lose("b")
		lost := f.now
		play(2*period, "a")
		worst, _ := f.worst(period, "b")
		forced, _ := f.worst(period, "a")
		fmt.Printf("policy scenario=capped-shift variant=%s cap=%.3f largest_increase=%.4f moved_s=%.0f\n", variant, fraction, worst, moved.Seconds())
		fmt.Printf("policy scenario=capped-shift-region-lost variant=%s cap=%.3f largest_increase=%.4f refused=%.3f\n", variant, fraction, forced, f.refused(lost))
		if variant == "product" && max(worst, forced) > fraction {
			t.Errorf("a share rose by %.4f in a period, cap %v", max(worst, forced), fraction)
		}
	}
}

// reached returns how long after from a region's share of a second is at least
// the given one, or 0.
func (f *fleet) reached(region model.Region, from time.Duration, share float64) time.Duration {
	all, there := 0, 0
	second := from / time.Second
	for _, q := range f.sent {
		if q.at < from {
			continue
		}
		if q.at/time.Second != second {
			if float64(there) >= share*float64(all) && all > 0 {
				return q.at - from
			}
			second, all, there = q.at/time.Second, 0, 0
		}
		all++
		if q.region == region {
			there++
		}
	}
	return 0
}

// refused returns the part of the requests from then on that were refused.
func (f *fleet) refused(from time.Duration) float64 {
	all, none := 0.0, 0.0
	for _, q := range f.sent {
		if q.at >= from {
			all++
			if q.region == "" {
				none++
			}
		}
	}
	return none / max(all, 1)
}
