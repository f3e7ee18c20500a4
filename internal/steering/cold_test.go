package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
	"jujubestile.example/jujubestile/internal/model"
)

// Endpoints come back cold and tolerate a low rate: only one instance of the
// region may send requests to such an endpoint, within that rate.
func TestColdEndpointGetsItsRateFromOneInstance(t *testing.T) {
	const instances = 8
	var members []Instance
	for i := range instances {
		members = append(members, Instance{ID: model.InstanceID(fmt.Sprint("i", i)), Region: "a"})
	}
	sent := 0
	senders := map[int]bool{}
	for i := range instances {
		tb := New(Config{Self: members[i].ID, Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
		tb.SetServices(map[model.Service]desired.Service{"s": {Name: "s", ColdRate: 2}})
		tb.SetInstances(members)
		e := ep("e", "a1", 3)
		e.ColdFor = 3 * time.Second
		tb.Put(e, epoch)
		for ms := range 1000 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if c := tb.Choose(now, req(1)); c.Pick != nil {
				sent++
				senders[i] = true
				tb.Finish(now.Add(time.Millisecond), c.Pick, Report{Result: Answered})
			}
		}
	}
	if len(senders) != 1 || sent == 0 || sent > 3 {
		t.Fatalf("%d requests in a second from instances %v; the endpoint tolerates 2", sent, senders)
	}
}

// Guards against full load on a restarted endpoint whose entry does not
// report a cold period.
func TestRestartedEndpointIsCold(t *testing.T) {
	tb := newTable()
	e := ep("e", "a1", 3)
	e.Started = 1
	tb.Put(e, epoch)
	e.Started = 2
	if change := tb.Put(e, epoch.Add(time.Second)); change != "restarted" {
		t.Fatalf("change %q, want restarted", change)
	}
	if c := tb.Counts(epoch.Add(time.Second)); c.Cold != 1 {
		t.Fatalf("%d cold endpoints, want 1", c.Cold)
	}
}
