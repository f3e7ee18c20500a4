package serve

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/platform/standin"
)

// stateModel is a store and instances that get its changes, and desired states, from it
// and from each other in a random order. Responses are taken when a call is made and
// applied at any later time.
type stateModel struct {
	t         *rapid.T
	at        mirror.Position
	history   []stateChange
	saved     []stateChange
	savedAt   mirror.Revision
	version   int
	instances []*Instance
	pending   []func()
}

// stateChange is a change of the store. One of another key than the desired state has no
// value.
type stateChange struct {
	mirror.Event
	version desired.Version
	valid   bool
}

const modelInstances = 4

func (m *stateModel) newInstance() *Instance {
	return New(Settings{Instance: "i", Region: "a", Domain: "a1", Domains: map[model.Domain]model.Region{"a1": "a"}},
		events.New(io.Discard, zerolog.Disabled, "i"))
}

func (m *stateModel) pick(name string) *Instance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, name)]
}

// write writes the desired state: a newer version, an invalid one, or the same once more.
func (m *stateModel) write() {
	kind := rapid.SampledFrom([]string{"newer", "newer", "invalid", "again"}).Draw(m.t, "kind")
	if kind != "again" {
		m.version++
	}
	value := standin.EncodeDesiredState(m.version, 5, []string{"s"}, nil)
	if kind == "invalid" {
		value = []byte("{")
	}
	m.at.Revision++
	m.history = append(m.history, stateChange{mirror.Event{Item: mirror.Item{Key: "op/config", Value: value, Revision: m.at.Revision}},
		desired.Version(m.version), kind != "invalid"})
}

func (m *stateModel) writeOther() {
	m.at.Revision++
	key := fmt.Sprint("other", rapid.IntRange(0, 3).Draw(m.t, "key"))
	m.history = append(m.history, stateChange{Event: mirror.Event{Item: mirror.Item{Key: key, Revision: m.at.Revision}}})
}

// last returns the last change of the desired state up to a revision.
func (m *stateModel) last(upTo mirror.Revision) (stateChange, bool) {
	for _, c := range slices.Backward(m.history) {
		if c.Key == "op/config" && c.Revision <= upTo {
			return c, true
		}
	}
	return stateChange{}, false
}

// watch returns the changes after the position of an instance, or a listing if that is of
// another era.
func (m *stateModel) watch(in *Instance) func() {
	after, _ := in.copy.Position(time.Now())
	at := m.at
	if after.Era != at.Era {
		items := map[string]mirror.Item{}
		for _, c := range m.history {
			items[c.Key] = c.Item
		}
		return func() {
			var all []mirror.Item
			for _, it := range items {
				all = append(all, it)
			}
			in.copy.Replace("", all, at)
		}
	}
	var changes []mirror.Event
	for _, c := range m.history {
		if c.Revision > after.Revision {
			changes = append(changes, c.Event)
		}
	}
	return func() { in.copy.Apply("", changes, at) }
}

func (m *stateModel) fetchChanges(in, from *Instance) func() {
	before, _ := in.copy.Position(time.Now())
	var reply Changes
	if err := (&State{from}).Changes(ChangesArgs{After: before.Revision, Era: before.Era, DesiredApart: true}, &reply); err != nil {
		m.t.Fatal(err)
	}
	return func() {
		if err := in.takeChanges("other", before, reply); err != nil {
			m.t.Fatal(err)
		}
	}
}

func (m *stateModel) fetchDesired(in, from *Instance) func() {
	have := in.desiredVersion()
	var reply DesiredReply
	if err := (&State{from}).Desired(DesiredArgs{Have: have, Held: in.states.held()}, &reply); err != nil {
		m.t.Fatal(err)
	}
	// A difference to a state that is no longer kept is an error, after which the
	// instance asks again.
	return func() { _ = in.takeDesired("other", have, reply) }
}

func (m *stateModel) read(in *Instance) func() {
	known, era := in.copy.OutOfBandAt(), m.at.Era
	c, ok := m.last(m.at.Revision)
	if !ok || known.Era > era {
		return func() {}
	}
	return func() { in.takeRead(c.Value, mirror.Position{Era: era, Revision: c.Revision}, known) }
}

func (m *stateModel) step() {
	var call func()
	in := m.pick("instance")
	switch rapid.SampledFrom([]string{"write", "write", "other", "watch", "changes", "changes", "changes", "desired", "desired", "read",
		"respond", "respond", "lose", "save", "restore"}).Draw(m.t, "step") {
	case "write":
		m.write()
	case "other":
		m.writeOther()
	case "watch":
		call = m.watch(in)
	case "changes":
		call = m.fetchChanges(in, m.pick("from"))
	case "desired":
		call = m.fetchDesired(in, m.pick("from"))
	case "read":
		call = m.read(in)
	case "lose":
		m.instances[slices.Index(m.instances, in)] = m.newInstance()
	case "save":
		m.saved, m.savedAt = slices.Clone(m.history), m.at.Revision
	case "restore":
		m.history, m.at = slices.Clone(m.saved), mirror.Position{Era: m.at.Era + 1, Revision: m.savedAt}
	case "respond":
		if len(m.pending) > 0 {
			n := rapid.IntRange(0, len(m.pending)-1).Draw(m.t, "response")
			m.pending[n]()
			m.pending = slices.Delete(m.pending, n, n+1)
		}
	}
	switch {
	case call == nil:
	case rapid.Bool().Draw(m.t, "delayed"):
		m.pending = append(m.pending, call)
	default:
		call()
	}
}

// check checks each instance whose copy is of the current era: unless a state is missing,
// it has considered the last one that its copy covers; and of the last one that it has
// considered it has the version in force, or a newer one of before a restore.
func (m *stateModel) check() {
	for n, in := range m.instances {
		at, _ := in.copy.Position(time.Now())
		held := in.states.held()
		known, missing := in.missingPosition()
		if c, ok := m.last(at.Revision); ok && at.Era == m.at.Era && !missing && held.Before(mirror.Position{Era: at.Era, Revision: c.Revision}) {
			m.t.Fatalf("instance %d at %+v has considered states up to %+v, knows of one at %+v, and misses none; the last one was at %d", n, at, held, known, c.Revision)
		}
		if c, ok := m.last(held.Revision); ok && held.Era == m.at.Era && c.valid && in.desiredVersion() < c.version {
			m.t.Fatalf("instance %d has considered states up to %+v with version %d in force; the last one was %d at %d", n, held, in.desiredVersion(), c.version, c.Revision)
		}
	}
}

// Guards against an instance that takes a desired state for considered that it has not got:
// in random orders of changes, calls, delayed responses, lost and new instances, restores,
// invalid states and states that are written again.
func TestNoDesiredStateIsTakenForConsidered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateModel{t: t, at: mirror.Position{Era: 1, Revision: 1}}
		for range modelInstances {
			m.instances = append(m.instances, m.newInstance())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}
