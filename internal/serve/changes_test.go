package serve

import (
	"io"
	"testing"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
)

// Guards against an instance that keeps an older desired state as long as the
// store changes, because its copy has passed the revision of the newer one.
func TestChangesIncludeAMissedDesiredState(t *testing.T) {
	in := New(Settings{}, events.New(io.Discard, zerolog.Disabled, "i0"))
	in.copy.Replace("", []mirror.Item{{Key: "op/config", Value: []byte(`{"configVersion":"00000002"}`), Revision: 5}}, mirror.Position{Revision: 5})
	for r := mirror.Revision(6); r <= 8; r++ {
		in.copy.Apply("", []mirror.Event{{Item: mirror.Item{Key: "other", Revision: r}}}, mirror.Position{Revision: r})
	}
	if in.desiredVersion() != 2 {
		t.Fatalf("version %d in force", in.desiredVersion())
	}
	var reply Changes
	if err := (&State{in}).Changes(ChangesArgs{After: 7, Desired: 1, DesiredApart: true}, &reply); err != nil {
		t.Fatal(err)
	}
	var state DesiredReply
	if err := (&State{in}).Desired(DesiredArgs{Have: 1}, &state); err != nil {
		t.Fatal(err)
	}
	if len(reply.Events) != 1 || state.State.Version != 2 || len(state.State.Packed) == 0 {
		t.Errorf("%d changes, and version %d in %d bytes for an instance with version 1", len(reply.Events), state.State.Version, len(state.State.Packed))
	}
	var older Changes // To an instance that does not fetch desired states apart.
	if err := (&State{in}).Changes(ChangesArgs{After: 7, Desired: 1}, &older); err != nil {
		t.Fatal(err)
	}
	if len(older.Events) != 1 || len(older.Desired) == 0 {
		t.Errorf("%d changes and a desired state of %d bytes for an earlier program with version 1", len(older.Events), len(older.Desired))
	}
}
