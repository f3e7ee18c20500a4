package mirror

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
	"jujubestile.example/jujubestile/internal/model"
)

const (
	syncKeys   = maxLogLength + 200
	syncCopies = 4
	// syncOutOfBand is the key that is out of band.
	syncOutOfBand = "large"
)

// replica is a copy together with the items that its consumer has been told.
type replica struct {
	*Copy
	told map[string]Item
}

func newReplica() *replica {
	r := &replica{told: map[string]Item{}}
	r.Copy = NewOutOfBand(func(key string) bool { return key == syncOutOfBand }, func(b Batch) {
		for _, e := range b.Events {
			if e.Deleted {
				delete(r.told, e.Key)
			} else {
				r.told[e.Key] = e.Item
			}
		}
	})
	return r
}

// syncModel is a store with copies that follow it or each other. Responses are
// taken when a call is made and applied at any later time.
type syncModel struct {
	*source
	t        *rapid.T
	steps    []string
	era      model.Era
	saved    storeCopy
	replicas []*replica
	pending  []func()
}

// storeCopy is a copy from which the store can be restored.
type storeCopy struct {
	items   map[string]Item
	history []Event
	at      Revision
}

func (m *syncModel) position() Position { return Position{m.era, m.at} }

func (m *syncModel) save() {
	m.saved = storeCopy{maps.Clone(m.items), slices.Clone(m.history), m.at}
}

func (m *syncModel) restore() {
	m.items, m.history, m.at = maps.Clone(m.saved.items), slices.Clone(m.saved.history), m.saved.at
	m.era++
}

func (m *syncModel) pick(name string) *replica {
	return m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, name)]
}

// write puts or removes a range of keys in an order of its own.
func (m *syncModel) write() {
	most := rapid.SampledFrom([]int{1, 1, 1, 20, syncKeys}).Draw(m.t, "most")
	from := rapid.IntRange(0, syncKeys-most).Draw(m.t, "from")
	remove := rapid.Bool().Draw(m.t, "remove")
	for _, n := range m.shuffle().Perm(most) {
		key := fmt.Sprint("k", from+n)
		if !remove {
			m.put(key, fmt.Sprint(m.at))
		} else if _, ok := m.items[key]; ok {
			m.remove(key)
		}
	}
}

func (m *syncModel) shuffle() *rand.Rand {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(m.t, "shuffle"), 0))
}

func (m *syncModel) watch(r *replica) func() {
	after, _ := r.Position(time.Now())
	if after.Era != m.era {
		return m.list(r)
	}
	var events []Event
	for _, e := range m.history {
		if e.Revision > after.Revision {
			events = append(events, e)
		}
	}
	at := m.position()
	return func() { r.Apply("", events, at) }
}

// list reads the first page of a listing; the second one is read when the listing
// is applied.
func (m *syncModel) list(r *replica) func() {
	at, shuffle := m.position(), m.shuffle()
	page := func(second bool) []Item {
		var out []Item
		for _, key := range slices.Sorted(maps.Keys(m.items)) {
			if key >= "k4" == second {
				out = append(out, m.items[key])
			}
		}
		return out
	}
	first := page(false)
	return func() {
		if at.Era != m.era {
			return // The listing has failed.
		}
		items := append(first, page(true)...)
		shuffle.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		r.Replace("", items, at)
	}
}

// fetch gets the changes of another copy, or all its items, as instances do.
func (m *syncModel) fetch(r, from *replica) func() {
	before, _ := r.Position(time.Now())
	events, at, covered := from.Since(before)
	outOfBandAt := from.OutOfBandAt()
	var items []Item
	if !covered {
		items, at = from.Snapshot()
	}
	return func() {
		r.AnnounceOutOfBand(outOfBandAt)
		switch {
		case !before.Before(at):
		case covered:
			r.Apply("peer", events, at)
		default:
			r.Replace("peer", items, at)
		}
	}
}

func (m *syncModel) step() {
	var call func()
	switch rapid.SampledFrom(m.steps).Draw(m.t, "step") {
	case "write":
		m.write()
		return
	case "write out of band":
		m.put(syncOutOfBand, fmt.Sprint(m.at))
		return
	case "replace":
		m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, "lost")] = newReplica()
		return
	case "save":
		m.save()
		return
	case "restore":
		m.restore()
		return
	case "watch":
		call = m.watch(m.pick("watcher"))
	case "list":
		call = m.list(m.pick("lister"))
	case "fetch":
		call = m.fetch(m.pick("to"), m.pick("from"))
	case "respond":
		if len(m.pending) > 0 {
			n := rapid.IntRange(0, len(m.pending)-1).Draw(m.t, "response")
			m.pending[n]()
			m.pending = slices.Delete(m.pending, n, n+1)
		}
		return
	}
	if rapid.Bool().Draw(m.t, "delayed") {
		m.pending = append(m.pending, call)
	} else {
		call()
	}
}

// checkOutOfBand checks that no copy has passed a change of the out-of-band key without
// knowing of it.
func (m *syncModel) checkOutOfBand() {
	for n, r := range m.replicas {
		at, _ := r.Position(time.Now())
		if at.Era != m.era {
			continue
		}
		changed := Position{Era: m.era}
		for _, e := range m.history {
			if e.Key == syncOutOfBand && e.Revision <= at.Revision {
				changed.Revision = e.Revision
			}
		}
		if known := r.OutOfBandAt(); changed.Revision > 0 && known.Before(changed) {
			m.t.Fatalf("copy %d at %+v knows of an out-of-band change at %+v, and the last one was at %+v", n, at, known, changed)
		}
	}
}

// Guards against a change of an out-of-band key that a copy has passed without knowing of
// it, so that nobody asks for its value: in random orders of changes, calls of the store
// and of other instances, delayed responses, lost and new instances, and restores.
func TestCopiesKnowOfOutOfBandChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append([]string{"write out of band", "write out of band", "replace", "save", "restore"}, steps...)
		m := &syncModel{source: newSource(), t: t, steps: all, era: 1}
		m.save()
		for range syncCopies {
			m.replicas = append(m.replicas, newReplica())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step()
			m.checkOutOfBand()
		}
	})
}

// steps are the steps of a model whose store is not restored.
var steps = []string{"write", "write", "watch", "list", "fetch", "fetch", "respond", "respond"}

// Guards against copies that differ from the store for good, because the log of
// changes has a gap, changes arrive out of order, or a copy passes a revision
// without a change up to it.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { converge(t, steps) })
}

// Guards against copies that differ from the store for good after it was restored
// one or several times.
func TestCopiesConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { converge(t, append([]string{"save", "restore"}, steps...)) })
}

// converge makes random steps, lets all copies catch up and compares them with the
// store.
func converge(t *rapid.T, steps []string) {
	m := &syncModel{source: newSource(), t: t, steps: steps, era: 1}
	m.save()
	for range syncCopies {
		m.replicas = append(m.replicas, newReplica())
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		m.step()
	}
	for _, respond := range m.pending {
		respond()
	}
	m.put("last", "1")
	m.watch(m.replicas[0])()
	for _, r := range m.replicas {
		m.fetch(r, m.replicas[0])()
		m.watch(r)()
	}
	for n, r := range m.replicas {
		m.compare(n, r)
	}
}

// compare checks a copy and what its consumer was told against the store.
func (m *syncModel) compare(n int, r *replica) {
	items, at := r.Snapshot()
	if at != m.position() {
		m.t.Fatalf("copy %d at %+v, store at %+v", n, at, m.position())
	}
	if len(r.told) != len(items) {
		m.t.Fatalf("copy %d has %d items and has reported %d", n, len(items), len(r.told))
	}
	for _, it := range items {
		if want, ok := m.items[it.Key]; !ok || want.Revision != it.Revision || r.told[it.Key].Revision != it.Revision {
			m.t.Fatalf("copy %d has %s of revision %d, store %d", n, it.Key, it.Revision, want.Revision)
		}
	}
	if len(items) != len(m.items) {
		m.t.Fatalf("copy %d has %d items, store %d", n, len(items), len(m.items))
	}
}
