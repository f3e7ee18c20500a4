package serve

import (
	"testing"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/boottime"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/logtest"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/platform/standin"
)

// Guards against a desired state that a watch has returned and that is never in force,
// and against a lease that counts it: the copy has passed the change if another instance
// has supplied later ones, without desired states, in the meantime.
func TestDesiredStateThatTheCopyHasPassed(t *testing.T) {
	in := New(Settings{Instance: "i1", Region: "a", Domain: "a1", Domains: map[model.Domain]model.Region{"a1": "a"}}, events.New(&logtest.Buffer{}, zerolog.DebugLevel, "i1"))
	state := func(version int) []byte { return standin.EncodeDesiredState(version, 5, []string{"s"}, nil) }
	at := func(r mirror.Revision) mirror.Position { return mirror.Position{Era: 1, Revision: r} }
	in.copy.Replace("", []mirror.Item{{Key: "op/config", Value: state(1), Revision: 5}}, at(10))
	storeObserver{in}.Listed(at(10), boottime.Now())
	in.copy.Apply("other", nil, at(20))
	changes := []mirror.Event{{Item: mirror.Item{Key: "op/config", Value: state(2), Revision: 15}}}
	in.copy.Apply("", changes, at(16))
	storeObserver{in}.Watched(at(10), at(16), boottime.Now())
	if p := in.lease.Proof(boottime.Now()); in.desiredVersion() != 2 || p.Version != 2 {
		t.Errorf("version %d in force, %d proven, want 2", in.desiredVersion(), p.Version)
	}
}
