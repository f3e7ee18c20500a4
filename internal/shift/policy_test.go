package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// TestPolicyShift measures the largest increase of a region's share for a
// planned shift and for one forced by a region failure, with 20 instances and a
// cap of 10 % in 10 s, and prints the figures. The naive variant, for comparison,
// moves all traffic at once. The test guards against exceeding the cap.
func TestPolicyShift(t *testing.T) {
	const period, fraction = 10 * time.Second, 0.1
	for _, variant := range []string{"naive", "product"} {
		f := &fleet{}
		set := testRules(fraction, period, "a", "b")
		for range 20 {
			f.add(set, Shares{"a": 1})
		}
		r := rand.New(rand.NewPCG(5, 6))
		run := func(d time.Duration, preferred ...model.Region) {
			for end := f.now + d; f.now < end; f.now += time.Millisecond {
				i := r.IntN(len(f.limiters))
				if variant == "naive" {
					f.sent = append(f.sent, fleetRequest{f.now, preferred[0], i})
					continue
				}
				f.send(i, preferred...)
			}
		}
		run(3*period, "a")
		planned := f.now
		run(25*period, "b", "a")
		moved := f.reached("b", planned, 0.95)
		f.failRegion("b")
		failed := f.now
		run(2*period, "a")
		plannedIncrease, _ := f.largestIncrease(period, "b")
		forcedIncrease, _ := f.largestIncrease(period, "a")
		fmt.Printf("policy scenario=capped-shift variant=%s cap=%.3f largest_increase=%.4f moved_s=%.0f\n", variant, fraction, plannedIncrease, moved.Seconds())
		fmt.Printf("policy scenario=capped-shift-region-lost variant=%s cap=%.3f largest_increase=%.4f refused=%.3f\n", variant, fraction, forcedIncrease, f.refused(failed))
		if variant == "product" && max(plannedIncrease, forcedIncrease) > fraction {
			t.Errorf("a share rose by %.4f in a period, cap %v", max(plannedIncrease, forcedIncrease), fraction)
		}
	}
}

// reached returns the time after from at which a region first has at least the
// given share of the requests of one second, or 0.
func (f *fleet) reached(region model.Region, from time.Duration, share float64) time.Duration {
	all, inRegion := 0, 0
	second := from / time.Second
	for _, q := range f.sent {
		if q.at < from {
			continue
		}
		if q.at/time.Second != second {
			if float64(inRegion) >= share*float64(all) && all > 0 {
				return q.at - from
			}
			second, all, inRegion = q.at/time.Second, 0, 0
		}
		all++
		if q.region == region {
			inRegion++
		}
	}
	return 0
}

// refused returns the fraction of refused requests since the given time.
func (f *fleet) refused(from time.Duration) float64 {
	all, refused := 0.0, 0.0
	for _, q := range f.sent {
		if q.at >= from {
			all++
			if q.region == "" {
				refused++
			}
		}
	}
	return refused / max(all, 1)
}
