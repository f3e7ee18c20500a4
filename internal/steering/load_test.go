package steering

import (
	"testing"

	_ "jujubestile.example/jujubestile/internal/fixedseed" // Property tests repeat.
	"jujubestile.example/jujubestile/internal/model"
)

// Loads of other instances count, and vanish with them.
func TestPeerLoads(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	wire := tb.endpoints["e"].wire
	tb.SetPeerLoads("other", Loads{wire: 30})
	if c := tb.Choose(epoch, req(1)); c.Pick != nil {
		t.Fatal("an endpoint with 30 requests of another instance got one more")
	}
	tb.SetPeerLoads("other", nil)
	if c := tb.Choose(epoch, req(1)); c.Pick == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	// An endpoint that is added later takes the loads that are known.
	tb.SetPeerLoads("other", Loads{newEndpoint(ep("late", "a1", 2), epoch).wire: 3})
	tb.Put(ep("late", "a1", 2), epoch)
	if n := tb.endpoints["late"].others; n != 3 {
		t.Fatalf("late endpoint has %d requests of others, want 3", n)
	}
}

// Reports of groups carry what has changed; the sum stays right.
func TestGroupLoads(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	wire := tb.endpoints["e"].wire
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
		t.Fatalf("%d requests of a group that is forgotten", n)
	}
}
