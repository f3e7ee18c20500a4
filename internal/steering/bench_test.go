package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// BenchmarkCapacityChoose measures one decision for a service with the given
// number of endpoints.
func BenchmarkCapacityChoose(b *testing.B) {
	domains := []model.Domain{"a1", "a2", "b1", "b2", "c1"}
	for _, n := range []int{12, 64, 141, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb := New(Config{Self: "i1", Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
			for i := range n {
				tb.Put(ep(fmt.Sprint("e", i), domains[i%len(domains)], 5), epoch)
			}
			for i := range uint32(2000) {
				for _, e := range tb.endpoints {
					e.recent.touch(i % 80)
					break
				}
			}
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				r := req(uint32(i % 200))
				r.UntilSoftDeadline = time.Second
				c := tb.Choose(now, r)
				if c.Pick != nil {
					tb.Finish(now.Add(time.Millisecond), c.Pick, Report{Result: Answered})
				}
			}
		})
	}
}
