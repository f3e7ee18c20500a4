package steering

import (
	"maps"
	"testing"

	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
	"jujubestile.example/jujubestile/internal/model"
)

// The loads of other instances must count, and be removed with the instance.
func TestPeerLoads(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	wire := tb.endpoints["e"].wireID
	tb.SetPeerLoads("other", Loads{wire: 30})
	if c := tb.Choose(epoch, req(1)); c.Pick != nil {
		t.Fatal("an endpoint with 30 requests of another instance got one more")
	}
	tb.SetPeerLoads("other", nil)
	if c := tb.Choose(epoch, req(1)); c.Pick == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	// An endpoint that is added later takes over the loads reported before.
	tb.SetPeerLoads("other", Loads{newEndpoint(ep("late", "a1", 2), epoch).wireID: 3})
	tb.Put(ep("late", "a1", 2), epoch)
	if n := tb.endpoints["late"].others; n != 3 {
		t.Fatalf("late endpoint has %d requests of others, want 3", n)
	}
}

// Reports of groups contain only changes: the sums must stay correct.
func TestGroupLoads(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	wire := tb.endpoints["e"].wireID
	tb.SetPeerLoads("domain/a2", Loads{wire: 5})
	tb.UpdatePeerLoads("domain/a2", Loads{wire: 3, 77: 1})
	if n := tb.endpoints["e"].others; n != 3 {
		t.Fatalf("%d requests of others, want 3", n)
	}
	if sum := tb.LoadsWith([]model.InstanceID{"domain/a2"}); sum[wire] != 3 || sum[77] != 1 {
		t.Fatalf("%v", sum)
	}
	tb.UpdatePeerLoads("domain/a2", Loads{wire: 0})
	tb.SetPeerLoads("domain/a2", nil)
	if n := tb.endpoints["e"].others; n != 0 {
		t.Fatalf("%d requests of a group that was removed", n)
	}
}

// Guards against a part of a group's loads that changes the loads outside its
// range, or that leaves those in it that have ended.
func TestLoadsWithinARange(t *testing.T) {
	tb := newTable()
	tb.SetPeerLoads("region/a", Loads{1: 1, 5: 5, 9: 9})
	tb.SetPeerLoadsWithin("region/a", 2, 8, Loads{6: 6})
	if got, want := tb.LoadsWith([]model.InstanceID{"region/a"}), (Loads{1: 1, 6: 6, 9: 9}); !maps.Equal(got, want) {
		t.Errorf("loads %v, want %v", got, want)
	}
}
