package roster

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

func newRoster() (*Roster, *steering.Table, *[]string) {
	var changes []string
	table := steering.New(steering.Config{Self: "i", Domain: "a1", Region: "a", MaxShift: 1, Rand: rand.New(rand.NewPCG(1, 2))})
	return New(table, func(id model.EndpointID, change string) { changes = append(changes, string(id)+" "+change) }), table, &changes
}

func list(leaving ...model.EndpointID) []model.Endpoint {
	var out []model.Endpoint
	for _, id := range []model.EndpointID{"e1", "e2"} {
		e := model.Endpoint{ID: id, Service: "s", Region: "a", Domain: "a1", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4}
		for _, l := range leaving {
			e.Leaving = e.Leaving || l == id
		}
		out = append(out, e)
	}
	return out
}

func usable(t *steering.Table, now time.Time) int { return t.Usable("s", "a", now) }

// Pattern: lists of different age arrive in any order. An endpoint that was
// shown as leaving stays out although an older list shows it as live.
func TestLeavingStaysOut(t *testing.T) {
	r, table, _ := newRoster()
	now := time.Now()
	r.SetEndpoints(now, list())
	r.SetEndpoints(now, list("e1"))
	r.SetEndpoints(now.Add(time.Second), list())
	if n := usable(table, now); n != 1 {
		t.Errorf("%d usable endpoints after an older list, want 1", n)
	}
	r.SetEndpoints(now.Add(LeavingHold+2*time.Second), list())
	if n := usable(table, now); n != 2 {
		t.Errorf("%d usable endpoints long after the mark has gone, want 2", n)
	}
	r.MarkLeaving(now, "e2")
	if n := usable(table, now); n != 1 {
		t.Errorf("%d usable endpoints after a notice, want 1", n)
	}
}

// An operator's drain ends at once, that of a list does not.
func TestDrains(t *testing.T) {
	r, table, changes := newRoster()
	now := time.Now()
	r.SetEndpoints(now, list())
	r.SetDrained(now, map[model.EndpointID]bool{"e1": true}, nil)
	if n := usable(table, now); n != 1 {
		t.Errorf("%d usable endpoints with one drained, want 1", n)
	}
	r.SetDrained(now, nil, map[model.Domain]bool{"a1": true})
	if n := usable(table, now); n != 0 {
		t.Errorf("%d usable endpoints in a drained failure domain, want 0", n)
	}
	r.SetDrained(now, nil, nil)
	if n := usable(table, now); n != 2 {
		t.Errorf("%d usable endpoints after the drain, want 2", n)
	}
	r.SetEndpoints(now, list()[:1])
	if got := (*changes)[len(*changes)-1]; got != "e2 gone" || usable(table, now) != 1 {
		t.Errorf("last change %q, %d usable", got, usable(table, now))
	}
}
