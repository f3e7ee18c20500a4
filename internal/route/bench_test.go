package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// BenchmarkCapacityTake measures one decision of the router and the release of
// its slot, for requests that stay in the own region, that follow weights
// under a cap, and that find no slot.
func BenchmarkCapacityTake(b *testing.B) {
	regions := []model.Region{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, n := range []int{3, 10} {
		for _, services := range []int{4, 600} {
			set := testRules(services, regions[:n]...)
			run := func(name string, set *rules.Set, lent, held int) {
				b.Run(fmt.Sprintf("%s/regions=%d/services=%d", name, n, services), func(b *testing.B) {
					bn := newBench(b, set, lent)
					need := bn.need()
					for range held {
						if _, err := bn.router.Take(bn.now, need); err != nil {
							b.Fatal(err)
						}
					}
					b.ReportAllocs()
					for b.Loop() {
						if s, err := bn.router.Take(bn.now, need); err == nil {
							s.Release()
						} else if held == 0 {
							b.Fatal(err)
						}
					}
				})
			}
			run("home", set, 0, 0)
			run("none", set, 0, 4)
			weighted := *set
			weighted.Weights = map[model.Service]map[model.Region]float64{svc: {}}
			weighted.Shifts = map[model.Service]rules.ShiftCap{svc: {Fraction: 0.1, Period: time.Minute}}
			for _, r := range regions[:n] {
				weighted.Weights[svc][r] = 1 / float64(n)
			}
			run("weighted", &weighted, 4, 0)
		}
	}
}

// BenchmarkCapacityRouterMemory measures the memory of the capacity, limiter
// and router of an instance for each (region, service).
func BenchmarkCapacityRouterMemory(b *testing.B) {
	regions := []model.Region{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, size := range [][2]int{{3, 4}, {10, 100}, {10, 600}} {
		b.Run(fmt.Sprintf("regions=%d/services=%d", size[0], size[1]), func(b *testing.B) {
			set := testRules(size[1], regions[:size[0]]...)
			var before, after runtime.MemStats
			var bn *bench
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				bn = newBench(b, set, 0)
				for s := range set.Services {
					need := bn.need()
					need.Service = s
					if _, err := bn.router.Take(bn.now, need); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size[0]*size[1]), "bytes/(region,service)")
			runtime.KeepAlive(bn)
		})
	}
}
