package quarantine

import (
	"fmt"
	"testing"
)

// TestPolicyCrashingRequest prints how many endpoints one crashing request takes
// down within 2,000 steps of 50 ms among 49 other requests, without and with the
// quarantine. It guards against a request that keeps crashing endpoints.
func TestPolicyCrashingRequest(t *testing.T) {
	const runs = 20
	for _, naive := range []bool{true, false} {
		variant, crashes, refused := "product", 0, 0
		if naive {
			variant = "naive"
		}
		for seed := range uint64(runs) {
			f := newFleet(seed, 20, 12)
			f.unchecked = naive
			n, refusedEverywhere := f.simulate(49, 1)
			if !naive && !refusedEverywhere {
				t.Errorf("seed %d: the crashing request was not refused everywhere", seed)
			}
			crashes += f.crashes
			refused += n
		}
		mean := float64(crashes) / runs
		fmt.Printf("policy scenario=crashing-request variant=%s crashes=%.2f innocents_refused=%d\n", variant, mean, refused)
		if !naive && (mean > refuseCrashes+1 || refused > 0) {
			t.Errorf("%.2f crashes per run, %d other requests refused", mean, refused)
		}
	}
}
