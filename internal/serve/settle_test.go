package serve

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
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
	in.startMissingGrace(missingGrace)
	in.applyEvacuation("b1", put, true, now)
	in.storeLost.Store(true)
	in.settleRestore(now.Add(missingGrace + time.Minute))
	if len(in.evacuations.deferred) != 0 {
		t.Error("the evacuation is deferred a minute after the grace period")
	}
}
