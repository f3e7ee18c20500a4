package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

// benchRecord returns a record with the given holders, each of which owns one
// or two slots of every fourth service.
func benchRecord(holders, services int) (*Record, *rules.Set) {
	r := &Record{Version: 1, Holders: map[model.InstanceID]*Holder{}}
	set := &rules.Set{Capacity: map[Key]int{}}
	for s := range services {
		r.ensureIndex(model.Service(fmt.Sprintf("service-%03d", s)))
	}
	for h := range holders {
		id := model.InstanceID(fmt.Sprintf("lagos-a-%03d", h))
		r.Holders[id] = &Holder{Incarnation: model.Incarnation(1765000000000000000 + h), Slots: make([]int, services)}
		for s := range services {
			if (h+s)%4 == 0 {
				r.Holders[id].Slots[s] = 1 + s%2
			}
		}
	}
	for s, n := range r.totals() {
		r.Caps[s] = n
		set.Capacity[Key{Region: "lagos", Service: r.Services[s]}] = n
	}
	return r, set
}

// BenchmarkCapacityRecord measures one change of the capacity record without
// the store: parse the record, find that the instance's entry is marked as missing,
// change it and marshal the result.
func BenchmarkCapacityRecord(b *testing.B) {
	for _, services := range []int{4, 600} {
		for _, holders := range []int{20, 100, 500} {
			b.Run(fmt.Sprintf("services=%d/holders=%d", services, holders), func(b *testing.B) {
				rec, set := benchRecord(holders, services)
				rec.Holders["lagos-a-000"].Missing = 1
				value, err := rec.Marshal()
				if err != nil {
					b.Fatal(err)
				}
				now := time.Now()
				s := New(now, Config{Self: "lagos-a-000", Incarnation: 1765000000000000000, Region: "lagos", Rand: rand.New(rand.NewPCG(1, 2))})
				s.SetRules(now, set)
				b.ReportAllocs()
				for b.Loop() {
					if err := s.ApplyRecord(now, now, store.KeyValue{Value: value, Revision: 1}); err != nil {
						b.Fatal(err)
					}
					c := s.Propose(now)
					if c == nil {
						b.Fatal("no change")
					}
					if _, err := c.Record.Marshal(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(value)), "record-bytes")
			})
		}
	}
}
