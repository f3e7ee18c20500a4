package serve

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
)

// Guards against an evacuation of a restored store that never takes effect on an
// instance that the store does not answer, and that knows of it from another
// instance.
func TestDeferredEvacuationWithoutTheStore(t *testing.T) {
	in := New(Settings{}, events.New(io.Discard, zerolog.Disabled, "i0"))
	now := time.Now()
	put := mirror.Event{Item: mirror.Item{Key: "op/evacuate/b1", Revision: 7}}
	in.applyEvacuation("b1", put, false, now)
	in.applyEvacuation("b1", mirror.Event{Item: mirror.Item{Key: put.Key, Revision: 9}, Deleted: true}, false, now)
	in.startMissingGrace(missingGrace, graceAfterOutage, "")
	in.applyEvacuation("b1", put, true, now)
	in.storeLost.Store(true)
	in.settleRestore(now.Add(missingGrace + time.Minute))
	if len(in.evacuations.deferred) != 0 {
		t.Error("the evacuation is deferred a minute after the grace period")
	}
}

// Guards against deferring changes after the grace period although another
// instance watches the store, and against applying them at once if none does.
func TestDeferredChangesAwaitTheStore(t *testing.T) {
	in := New(Settings{Instance: "i0"}, events.New(io.Discard, zerolog.Disabled, "i0"))
	in.storeLost.Store(true)
	in.startMissingGrace(missingGrace, graceAfterOutage, "")
	now := time.Now().Add(missingGrace + time.Second)
	if !in.awaitsStore(now) {
		t.Error("changes are applied although no instance watches the store")
	}
	in.members.ReceiveFull(fleet.Presence{ID: "i1", Incarnation: 1, Watching: true}, time.Now())
	if in.awaitsStore(now) {
		t.Error("changes are deferred although another instance watches the store")
	}
}
