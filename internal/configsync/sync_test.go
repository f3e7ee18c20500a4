package configsync

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// memoryStore is a store in memory that counts calls and can be made unavailable.
type memoryStore struct {
	store.Store
	mu       sync.Mutex
	values   map[string]store.KeyValue
	revision store.Revision
	// era is reported in all results.
	era   model.Era
	calls int
	down  bool
	// beforeSwap, if set, runs once before the next swap of the rules document.
	beforeSwap func()
	// afterGet, if set, runs once after the next read, before its result is returned.
	afterGet func()
	// lostResponses is how many of the next successful swaps of the rules
	// document return an error.
	lostResponses int
}

// begin locks the store and counts a call.
func (m *memoryStore) begin() error {
	m.mu.Lock()
	m.calls++
	if m.down {
		return store.ErrUnavailable
	}
	return nil
}

func (m *memoryStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	if after := m.afterGet; after != nil {
		m.afterGet = nil
		defer after()
	}
	defer m.mu.Unlock()
	if err := m.begin(); err != nil {
		return store.KeyValue{}, err
	}
	kv, ok := m.values[key]
	kv.Era = m.era
	if !ok {
		return kv, store.ErrNotFound
	}
	return kv, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, expected store.Revision, value []byte, _ store.LeaseID) (store.SwapResult, error) {
	if before := m.beforeSwap; before != nil && key == Key {
		m.beforeSwap = nil
		before()
	}
	defer m.mu.Unlock()
	if err := m.begin(); err != nil {
		return store.SwapResult{}, err
	}
	if m.values[key].Revision != expected {
		return store.SwapResult{Current: m.values[key]}, nil
	}
	m.revision++
	delete(m.values, key)
	if value != nil {
		m.values[key] = store.KeyValue{Key: key, Value: value, Revision: m.revision}
	}
	if key == Key && m.lostResponses > 0 {
		m.lostResponses--
		return store.SwapResult{}, store.ErrUnavailable
	}
	current := m.values[key]
	current.Era = m.era
	return store.SwapResult{Swapped: true, Current: current}, nil
}

func (m *memoryStore) Watch(ctx context.Context, key string, after store.Revision) (store.KeyValue, error) {
	for first := true; ; first = false {
		m.mu.Lock()
		kv, down := m.values[key], m.down
		if first {
			m.calls++
		}
		m.mu.Unlock()
		switch {
		case down:
			return kv, store.ErrUnavailable
		case kv.Revision > after:
			return kv, nil
		}
		if sleep(ctx, 10*time.Millisecond); ctx.Err() != nil {
			return kv, ctx.Err()
		}
	}
}

func (m *memoryStore) setDown(v bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.calls = v, 0
}

func (m *memoryStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *memoryStore) set(t *testing.T, d Document) {
	value, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.values[Key] = store.KeyValue{Key: Key, Value: value, Revision: m.revision}
}

func (m *memoryStore) stored() Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, _ := Decode(m.values[Key].Value)
	return d
}

// directCaller calls the services of other instances in process. It encodes the
// arguments with gob like net/rpc and counts their bytes.
type directCaller struct {
	services map[model.InstanceID]*Service
	sent     atomic.Int64
}

func (c *directCaller) Call(_ context.Context, to model.InstanceID, method string, args, reply any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(args); err != nil {
		return err
	}
	c.sent.Add(int64(b.Len()))
	decoder := gob.NewDecoder(&b)
	switch method {
	case "Rules.Fetch":
		var a FetchArgs
		if err := decoder.Decode(&a); err != nil {
			return err
		}
		return c.services[to].Fetch(a, reply.(*Reply))
	case "Rules.Offer":
		var a OfferArgs
		if err := decoder.Decode(&a); err != nil {
			return err
		}
		return c.services[to].Offer(a, reply.(*Reply))
	}
	return errors.NotFoundf("method %s", method)
}

// newEditors returns the editors of n relays that share a store.
func newEditors(n int, m *memoryStore) []*Editor {
	calls := &directCaller{services: map[model.InstanceID]*Service{}}
	var ids []model.InstanceID
	var editors []*Editor
	for i := range n {
		s := NewState(time.Now)
		s.setSynced(true)
		id := model.InstanceID(fmt.Sprint("r", i))
		ids = append(ids, id)
		calls.services[id] = NewService(s)
		client := &PeerRelayClient{Caller: calls, Relays: func() []model.InstanceID { return ids }, Self: id}
		editors = append(editors, &Editor{State: s, Store: m, Relays: client, IsRelay: always, Now: time.Now, Report: func(Event) {}})
	}
	return editors
}

func always() bool { return true }
func never() bool  { return false }

func newMemoryStore() *memoryStore { return &memoryStore{values: map[string]store.KeyValue{}} }

func edit(t *testing.T, e *Editor, id string, base uint64, text string) Result {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return e.Edit(ctx, Request{Text: text, Author: "Author of " + id, EditID: id, Base: base})
}

// Guards against a conflict that is not reported, or that is reported without
// the author and the changes of the edit that was saved first.
func TestRacingEditorsHaveOneWinner(t *testing.T) {
	m := newMemoryStore()
	editors := newEditors(4, m)
	if r := edit(t, editors[0], "first", 0, baseText); r.Outcome != Accepted || r.Head.Revision != 1 {
		t.Fatal(r)
	}
	results := make([]Result, len(editors))
	var wg sync.WaitGroup
	for i, e := range editors {
		wg.Go(func() {
			id := fmt.Sprint("e", i)
			results[i] = edit(t, e, id, 1, baseText+lineOf(id))
			// The loser of a race is Unavailable while the relays do not agree on
			// the winner yet, and can be sent again.
			for results[i].Outcome == Unavailable {
				results[i] = edit(t, e, id, 1, baseText+lineOf(id))
			}
		})
	}
	wg.Wait()
	winner := m.stored()
	accepted := 0
	for i, r := range results {
		switch r.Outcome {
		case Accepted:
			accepted++
		case Conflict:
			if r.Head.Author != winner.Author || len(r.Changes) != 1 || r.Changes[0].Requester != winner.EditID {
				t.Errorf("editor %d: conflict reported as %+v", i, r)
			}
		default:
			t.Errorf("editor %d: %+v", i, r)
		}
	}
	if accepted != 1 || winner.Revision != 2 {
		t.Errorf("%d edits accepted; the store has revision %d", accepted, winner.Revision)
	}
}

// Guards against an edit that is written twice or reported as not accepted
// because the store's response was lost.
func TestLostResponseIsReadBack(t *testing.T) {
	m := newMemoryStore()
	e := newEditors(1, m)[0]
	edit(t, e, "a", 0, baseText)
	m.lostResponses = 1
	r := edit(t, e, "b", 1, baseText+lineOf("b"))
	if r.Outcome != Accepted || r.Head.Revision != 2 || m.stored().Hash != r.Head.Hash {
		t.Errorf("got %+v; the store has revision %d", r, m.stored().Revision)
	}
}

// Guards against an edit that overwrites another one that was saved between its
// read of the store and its write.
func TestEditSavedMeanwhileWins(t *testing.T) {
	m := newMemoryStore()
	e := newEditors(1, m)[0]
	edit(t, e, "a", 0, baseText)
	other := m.stored().edit(Request{Text: baseText + lineOf("b"), Author: "B", EditID: "b"}, time.Now(), 0)
	m.beforeSwap = func() { m.set(t, other) }
	r := edit(t, e, "c", 1, baseText+lineOf("c"))
	if r.Outcome != Conflict || r.Head.Author != "B" || len(r.Changes) != 1 || m.stored().Hash != other.Hash {
		t.Errorf("got %+v; the store has %s", r, m.stored().EditID)
	}
}

// Guards against the loser of two concurrent edits that is told that the store has
// changed instead of who won: the winner's edit is written and in force at the loser's
// instance after that has read the store.
func TestEditSavedAfterReadWins(t *testing.T) {
	m := newMemoryStore()
	editors := newEditors(2, m)
	edit(t, editors[0], "a", 0, baseText)
	m.afterGet = func() { edit(t, editors[1], "b", 1, baseText+lineOf("b")) }
	r := edit(t, editors[0], "c", 1, baseText+lineOf("c"))
	if r.Outcome != Conflict || r.Head.EditID != "b" || len(r.Changes) != 1 || m.stored().EditID != "b" {
		t.Errorf("got %+v; the store has %s", r, m.stored().EditID)
	}
}

// Guards against an edit based on an outdated store. The store was restored from
// an older backup, and the instance with the editor does not have the newest
// document. Without the query to the relays the edit would create a fork, which
// the relays would then have to resolve.
func TestEditAfterRestoreFindsRelaysAhead(t *testing.T) {
	m := newMemoryStore()
	editors := newEditors(3, m)
	edit(t, editors[0], "a", 0, baseText)
	old := m.stored()
	edit(t, editors[0], "b", 1, baseText+lineOf("b"))
	m.set(t, old)
	late := editors[2]
	late.State = NewState(time.Now)
	late.State.setSynced(true)
	r := edit(t, late, "c", 1, baseText+lineOf("c"))
	if r.Outcome != Conflict || r.Head.EditID != "b" || m.stored().EditID != "b" {
		t.Errorf("got %+v; the store has %s", r, m.stored().EditID)
	}
	if r := edit(t, late, "c", 2, baseText+lineOf("b")+lineOf("c")); r.Outcome != Accepted || r.Head.Revision != 3 {
		t.Errorf("with the newest base: %+v", r)
	}
	if r := edit(t, late, "c", 2, baseText); r.Outcome != Accepted || r.Head.Revision != 3 {
		t.Errorf("the same edit sent again: %+v", r)
	}
}

// Guards against sending the full text to all relays for each small edit, and
// against sending a relay that missed an edit only a delta that it cannot apply.
func TestOfferSendsDeltas(t *testing.T) {
	m := newMemoryStore()
	editors := newEditors(3, m)
	text := largeText(1000)
	edit(t, editors[0], "a", 0, text)
	calls := editors[0].Relays.(*PeerRelayClient).Caller.(*directCaller)
	for i, missed := range []bool{false, true} {
		if missed {
			editors[2].State.inForce = Document{}
		}
		calls.sent.Store(0)
		text += "# x\n"
		r := edit(t, editors[0], fmt.Sprint("b", i), uint64(i+1), text)
		if n := calls.sent.Load(); r.Outcome != Accepted || (n > 3000) != missed {
			t.Errorf("missed %v: outcome %s with %d bytes sent", missed, r.Outcome, n)
		}
		if editors[2].State.Head().Revision != r.Head.Revision {
			t.Errorf("missed %v: revision %d at a relay", missed, editors[2].State.Head().Revision)
		}
	}
}

// Guards against an edit that is written or accepted although too few relays
// respond or the store is unavailable.
func TestEditWithoutRelays(t *testing.T) {
	m := newMemoryStore()
	editors := newEditors(3, m)
	edit(t, editors[0], "a", 0, baseText)
	e := editors[0]
	for _, other := range editors[1:] {
		other.State.setSynced(false)
	}
	if r := edit(t, e, "b", 1, baseText); r.Outcome != Unavailable || m.stored().EditID != "a" {
		t.Errorf("one relay of three: %+v", r)
	}
	m.setDown(true)
	editors[1].State.setSynced(true)
	if r := edit(t, e, "b", 1, baseText); r.Outcome != Unavailable {
		t.Errorf("store down: %+v", r)
	}
	if r := edit(t, e, "b", 1, "hold x # A"); r.Outcome != Invalid || len(r.Faults.Errors) != 1 {
		t.Errorf("invalid text: %+v", r)
	}
}

// Guards against an undetected fork: a higher revision alone must not make a
// document a descendant.
func TestRelate(t *testing.T) {
	next := func(d Document, id string) Document {
		return d.edit(Request{Text: id, Author: "A", EditID: id}, time.Unix(1, 0), 0)
	}
	root := next(Document{}, "root")
	a, b := next(root, "a"), next(root, "b")
	merged := a.reissue(b.Head)
	far := a
	for i := range maxLineage + 1 {
		far = next(far, fmt.Sprint("x", i))
	}
	for name, c := range map[string]struct {
		new, inForce Document
		want         relation
	}{
		"first":                   {root, Document{}, newer},
		"again":                   {a, a, same},
		"parent":                  {root, a, older},
		"child":                   {a, root, newer},
		"sibling":                 {a, b, forked},
		"child of sibling":        {next(b, "c"), a, forked},
		"merged over winner":      {merged, a, newer},
		"merged over loser":       {merged, b, newer},
		"child of merged":         {next(merged, "c"), b, newer},
		"ancestor out of lineage": {far, b, newer},
	} {
		if got := c.new.relate(c.inForce.Head); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
	if merged.statusOf("a") != editIncluded || merged.statusOf("b") != editOverruled || merged.statusOf("root") != editIncluded {
		t.Errorf("wrong edit status in %+v", merged.Head)
	}
}

func driver(s *State, m *memoryStore, isRelay func() bool) (*Driver, *[]EventKind) {
	var kinds []EventKind
	return &Driver{
		State: s, Store: m, IsRelay: isRelay, Rand: rand.New(rand.NewPCG(1, 2)),
		Relays: &PeerRelayClient{Relays: func() []model.InstanceID { return nil }},
		Report: func(e Event) { kinds = append(kinds, e.Kind) },
	}, &kinds
}

// Guards against thousands of starting instances that all read the store, and
// against a single instance without neighbours that never gets its rules.
func TestDriverStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(t, Document{}.edit(Request{Text: baseText, Author: "A", EditID: "a"}, time.Now(), 0))
		alone, contacted := NewState(time.Now), NewState(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		for _, s := range []*State{alone, contacted} {
			d, _ := driver(s, m, never)
			go d.Run(ctx)
		}
		contacted.News(nil)
		contacted.News(contacted.Digest())
		time.Sleep(startWait - time.Millisecond)
		if m.callCount() > 0 || alone.Ready() {
			t.Error("the store was read before neighbours had time to respond")
		}
		time.Sleep(time.Minute)
		if m.callCount() != 1 || !alone.Ready() || contacted.Ready() {
			t.Errorf("%d calls; alone ready: %v", m.callCount(), alone.Ready())
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a restored store that keeps an older document, against relays
// that call an unavailable store without delays, and against relays that notice
// changes late after an outage of the store.
func TestRelayRepairsAndBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		s := NewState(time.Now)
		old := Document{}.edit(Request{Text: baseText, Author: "A", EditID: "a"}, time.Now(), 0)
		m.set(t, old)
		ctx, cancel := context.WithCancel(t.Context())
		d, kinds := driver(s, m, always)
		go d.Run(ctx)
		time.Sleep(startWait + time.Second)
		newest := old.edit(Request{Text: baseText + "# b\n", Author: "A", EditID: "b"}, time.Now(), 0)
		m.set(t, newest)
		time.Sleep(100 * time.Millisecond)
		m.set(t, old)
		m.mu.Lock()
		m.values[Key] = store.KeyValue{Key: Key, Value: m.values[Key].Value, Revision: 1}
		m.mu.Unlock()
		time.Sleep(watchTimeout + time.Second)
		if got := m.stored(); got.Hash != newest.Hash || s.Head().Hash != newest.Hash {
			t.Errorf("the store has revision %d, the relay has %d", got.Revision, s.Head().Revision)
		}
		m.setDown(true)
		time.Sleep(time.Minute)
		if n := m.callCount(); n > 120 {
			t.Errorf("%d calls in a minute of outage", n)
		}
		m.set(t, newest.edit(Request{Text: baseText, Author: "A", EditID: "c"}, time.Now(), 0))
		m.setDown(false)
		time.Sleep(maxBackoff + 100*time.Millisecond)
		if s.Head().EditID != "c" {
			t.Errorf("after the outage, edit %s is in force", s.Head().EditID)
		}
		cancel()
		synctest.Wait()
		want := []EventKind{EventInForce, EventInForce, EventStoreBehind, EventStoreDown, EventInForce}
		if fmt.Sprint(*kinds) != fmt.Sprint(want) {
			t.Errorf("events %v, want %v", *kinds, want)
		}
	})
}

// Guards against a history in the store that grows without limit.
func TestHistoryKeepsLastRevisions(t *testing.T) {
	m := newMemoryStore()
	e := newEditors(1, m)[0]
	for i := range uint64(HistoryLength + 5) {
		if r := edit(t, e, fmt.Sprint("e", i), i, baseText+strings.Repeat("# x\n", int(i%7))); r.Outcome != Accepted {
			t.Fatal(r)
		}
	}
	heads, err := History(t.Context(), m, e.State.Head().Revision, 10)
	if err != nil || len(heads) != 10 || heads[0].Revision != HistoryLength+5 {
		t.Errorf("%d heads, %v", len(heads), err)
	}
	if n := len(m.values); n != HistoryLength+1 {
		t.Errorf("the store has %d keys", n)
	}
}
