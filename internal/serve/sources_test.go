package serve

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
)

// Guards against an instance that does not respond and holds up the calls of others,
// and against a call of a second one although the first has responded.
func TestSilentSourceHoldsUpNoOther(t *testing.T) {
	in := linkedInstances(t, 1, nil, mirror.Position{Revision: 1})[0]
	var mu sync.Mutex
	var asked []model.InstanceID
	fetch := func(ctx context.Context, id model.InstanceID) bool {
		mu.Lock()
		asked = append(asked, id)
		mu.Unlock()
		if id == "silent" {
			<-ctx.Done()
			return false
		}
		return id == "has it"
	}
	for _, c := range []struct {
		sources, asked []model.InstanceID
		limit          time.Duration
	}{
		{[]model.InstanceID{"has it", "other"}, []model.InstanceID{"has it"}, nextSourceDelay},
		{[]model.InstanceID{"silent", "has it", "other"}, []model.InstanceID{"silent", "has it"}, 2 * nextSourceDelay},
		{[]model.InstanceID{"other", "silent", "has it"}, []model.InstanceID{"other", "silent", "has it"}, 2 * nextSourceDelay},
		{[]model.InstanceID{"silent"}, []model.InstanceID{"silent"}, fetchTimeout + nextSourceDelay},
		{nil, nil, nextSourceDelay},
	} {
		asked = nil
		started := time.Now()
		in.fetchFromAny(t.Context(), c.sources, fetch)
		mu.Lock()
		if took := time.Since(started); took > c.limit || !slices.Equal(asked, c.asked) {
			t.Errorf("of %v, %v were asked within %s", c.sources, asked, took)
		}
		mu.Unlock()
	}
}

// Guards against an instance that keeps asking one that does not respond, against
// calls of other regions by every instance at once, and against a starting instance
// that asks nobody.
func TestOrderOfSources(t *testing.T) {
	in := linkedInstances(t, 1, nil, mirror.Position{})[0]
	for _, p := range []fleet.Presence{{ID: "a", Domain: "a1", Region: "a"}, {ID: "b", Domain: "a1", Region: "a"}, {ID: "far", Domain: "b1", Region: "b"}} {
		p.Incarnation = 1
		in.members.ReceiveFull(p, time.Now())
	}
	near := []fleet.Presence{{ID: "a"}, {ID: "b"}}
	far := []fleet.Presence{{ID: "far"}}
	now, before := time.Now(), time.Now().Add(-2*farFetchDelay)
	represents := in.members.Represents(in.ownDomain())
	if got := in.sources(near, far, false, now); slices.Contains(got, "far") != represents {
		t.Errorf("asks %v at once, represents its failure domain: %t", got, represents)
	}
	if got := in.sources(near, far, false, before); !slices.Equal(got, []model.InstanceID{"a", "b", "far"}) {
		t.Errorf("asks %v later", got)
	}
	in.settings.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.9.1.1:1")}
	if started, loaded := in.sources(nil, nil, true, now), in.sources(nil, nil, false, now); len(started) != 1 || len(loaded) != 0 {
		t.Errorf("asks %v while it has nothing, %v afterwards", started, loaded)
	}
	in.failedSources.add("a", time.Now())
	if got := in.sources(near, far, true, now); !slices.Equal(got, []model.InstanceID{"b", "far", "a"}) {
		t.Errorf("asks %v after a call of a has failed", got)
	}
	if got := in.failedSources.last([]model.InstanceID{"a", "b"}, time.Now().Add(2*failedSourceTime)); got[0] != "a" {
		t.Errorf("asks %v long after a call of a has failed", got)
	}
}
