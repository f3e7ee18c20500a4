package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// BenchmarkCapacityTake measures Router.Take and the release of the slot, for
// requests that stay in the region, requests that find no slot and requests
// that follow weights under a shift cap.
func BenchmarkCapacityTake(b *testing.B) {
	regions := []model.Region{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, n := range []int{3, 10} {
		for _, services := range []int{4, 600} {
			set := testRules(services, regions[:n]...)
			run := func(name string, set *rules.Set, borrowed, held int) {
				b.Run(fmt.Sprintf("%s/regions=%d/services=%d", name, n, services), func(b *testing.B) {
					f := newFixture(b, set, borrowed)
					req := f.request()
					for range held {
						if _, err := f.router.Take(f.now, req); err != nil {
							b.Fatal(err)
						}
					}
					b.ReportAllocs()
					for b.Loop() {
						if s, err := f.router.Take(f.now, req); err == nil {
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

// BenchmarkCapacityRouterMemory measures the memory that the capacity state,
// the limiter and the router of an instance need for each (region, service).
func BenchmarkCapacityRouterMemory(b *testing.B) {
	regions := []model.Region{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, size := range [][2]int{{3, 4}, {10, 100}, {10, 600}} {
		b.Run(fmt.Sprintf("regions=%d/services=%d", size[0], size[1]), func(b *testing.B) {
			set := testRules(size[1], regions[:size[0]]...)
			var before, after runtime.MemStats
			var f *fixture
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				f = newFixture(b, set, 0)
				for s := range set.Services {
					req := f.request()
					req.Service = s
					if _, err := f.router.Take(f.now, req); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size[0]*size[1]), "bytes/(region,service)")
			runtime.KeepAlive(f)
		})
	}
}
