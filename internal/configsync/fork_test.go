package configsync

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// fixedRelays is a RelayClient that returns the same heads for all calls.
type fixedRelays struct {
	heads   []RelayHead
	queried int
}

func (r fixedRelays) Heads(context.Context) ([]RelayHead, int) { return r.heads, r.queried }
func (r fixedRelays) Offer(context.Context, Document, Document) ([]RelayHead, int) {
	return r.heads, r.queried
}
func (r fixedRelays) Fetch(context.Context, model.InstanceID) (Document, error) {
	return Document{}, store.ErrNotFound
}

// relayHeads returns the heads of the documents as responses of relays.
func relayHeads(docs ...Document) (out []RelayHead) {
	for _, d := range docs {
		out = append(out, RelayHead{Head: d.Head})
	}
	return out
}

// branches returns a root document, its children a and b, and c, a child of b.
func branches() (root, a, b, c Document) {
	next := func(d Document, id string) Document {
		return d.edit(Request{Text: d.Text + lineOf(id), Author: "A", EditID: id}, time.Unix(1, 0), 0)
	}
	root = Document{}.edit(Request{Text: baseText, Author: "A", EditID: "root"}, time.Unix(1, 0), 0)
	b = next(root, "b")
	return root, next(root, "a"), b, next(b, "c")
}

// Guards against overruling an accepted edit, which is in force at a majority of
// the relays. A relay that knows of no majority waits for the grace period.
func TestForkIsResolvedByMajority(t *testing.T) {
	root, a, b, c := branches()
	for name, x := range map[string]struct {
		heads   []RelayHead
		queried int
		expired bool
		want    string
	}{
		"alone":                                   {nil, 0, false, "a"},
		"not synced, one each":                    {relayHeads(a, b), 2, false, ""},
		"not synced, others have ours":            {relayHeads(a, a), 2, false, "a"},
		"not synced, one each, grace period over": {relayHeads(a, b), 2, true, "b"},
		"two of three have ours":                  {relayHeads(a), 2, false, "a"},
		"two of three have theirs":                {relayHeads(b, b), 2, false, "b"},
		"a descendant counts":                     {relayHeads(c, b), 2, false, "b"},
		"one each":                                {relayHeads(b), 2, false, ""},
		"one has neither":                         {relayHeads(b, root), 2, false, ""},
		"one each, grace period over":             {relayHeads(b), 2, true, "b"},
		"most responses, grace period over":       {relayHeads(a), 4, true, "a"},
		"most responses, grace period running":    {relayHeads(a), 4, false, ""},
		"most responses have theirs":              {relayHeads(b, b), 4, true, "b"},
		"no responses, grace period running":      {nil, 2, false, ""},
	} {
		now := time.Unix(1e9, 0)
		s := NewState(func() time.Time { return now })
		s.Apply(a)
		s.setSynced(!strings.HasPrefix(name, "not synced"))
		m := newMemoryStore()
		m.set(t, b)
		d, _ := driver(s, m, always)
		d.Relays = fixedRelays{x.heads, x.queried}
		_, err := d.syncOnce(t.Context())
		if x.expired {
			now = now.Add(forkGracePeriod)
			_, err = d.syncOnce(t.Context())
		}
		stored := m.stored()
		if x.want == "" {
			if err == nil || stored.Hash != b.Hash {
				t.Errorf("%s: %v, the store has edit %s", name, err, stored.EditID)
			}
			continue
		}
		if err != nil || stored.EditID != x.want || stored.Revision != 3 || s.Head().Hash != stored.Hash {
			t.Errorf("%s: %v, the store has revision %d of edit %s", name, err, stored.Revision, stored.EditID)
		}
		for _, loser := range []Document{a, b} {
			if stored.relate(loser.Head) != newer {
				t.Errorf("%s: instances with edit %s in force do not accept the result", name, loser.EditID)
			}
		}
	}
}

// Guards against accepting an edit without a majority of relays, with a relay on
// another branch, or after the store has lost the edit in a restore.
func TestConfirmNeedsMajority(t *testing.T) {
	root, a, b, c := branches()
	for name, x := range map[string]struct {
		heads   []RelayHead
		queried int
		want    Outcome
	}{
		"all":                    {relayHeads(b, b), 2, Accepted},
		"two of three":           {relayHeads(b), 2, Accepted},
		"later edit":             {relayHeads(c, c), 2, Accepted},
		"one of two":             {nil, 1, Unknown},
		"two of four":            {relayHeads(b, root), 3, Unknown},
		"one has another branch": {relayHeads(b, b, b, a), 4, Unknown},
	} {
		m := newMemoryStore()
		m.set(t, b)
		e := newEditors(1, m)[0]
		e.Relays = fixedRelays{x.heads, x.queried}
		e.delay = func(context.Context, int) error { return context.DeadlineExceeded }
		res := e.confirm(t.Context(), Request{EditID: "b"}, root, b, writtenAt{})
		if res.Outcome != x.want || res.Head.Revision != 2 {
			t.Errorf("%s: %+v", name, res)
		}
	}
	m := newMemoryStore()
	m.set(t, root)
	e := newEditors(1, m)[0]
	e.Relays = fixedRelays{relayHeads(b, b), 2}
	e.delay = func(context.Context, int) error { return context.DeadlineExceeded }
	if res := e.confirm(t.Context(), Request{EditID: "b"}, root, b, writtenAt{}); res.Outcome != Unknown {
		t.Errorf("after a restore of the store: %+v", res)
	}
}

// Guards against two groups of instances that keep different documents with the
// same revision when the store shows no fork.
func TestRelayEndsForkSeenInGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, a, b, _ := branches()
		other := stateWith(t, root, b)
		s := stateWith(t, root, a)
		m := newMemoryStore()
		m.set(t, a)
		ctx, cancel := context.WithCancel(t.Context())
		d, _ := driver(s, m, always)
		go d.Run(ctx)
		for range 20 {
			s.News(other.Digest())
			time.Sleep(time.Second)
		}
		if changed, err := other.Merge(s.News(other.Digest())); !changed || err != nil || other.Head().EditID != "a" || other.Head().Hash != m.stored().Hash {
			t.Errorf("changed %v, %v; revision %d of edit %s", changed, err, other.Head().Revision, other.Head().EditID)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that stays on its branch forever after all relays
// have resolved the fork, and against one that abandons its branch at once.
func TestForkedInstanceFollowsAfterGrace(t *testing.T) {
	_, a, _, c := branches()
	now := time.Unix(1e9, 0)
	s := NewState(func() time.Time { return now })
	s.Apply(a)
	for _, after := range []time.Duration{0, forkGracePeriod - 1} {
		now = now.Add(after)
		if v, err := s.Apply(c); v != Rejected || err != nil {
			t.Errorf("after %s: %v, %v", after, v, err)
		}
	}
	now = now.Add(forkGracePeriod)
	if v, err := s.Apply(c); v != Applied || err != nil {
		t.Errorf("after the grace period: %v, %v", v, err)
	}
}

// Guards against an unreadable value in the store, for example one written by
// hand, that stops a relay or blocks all further edits. A relay must not overwrite
// it either, since a newer version of the software may have written it.
func TestUnreadableValueIsLeftToEditors(t *testing.T) {
	root, a, _, _ := branches()
	for _, value := range []string{"{", `{"revision":7,"edit_id":"x","author":"A","text":"hold x # A"}`} {
		m := newMemoryStore()
		m.set(t, root)
		e := newEditors(1, m)[0]
		d, kinds := driver(e.State, m, always)
		e.State.Apply(root)
		m.values[Key] = store.KeyValue{Key: Key, Value: []byte(value), Revision: 9}
		for range 2 {
			if _, err := d.syncOnce(t.Context()); err != nil {
				t.Error(err)
			}
		}
		if len(*kinds) != 1 || (*kinds)[0] != EventInvalid || string(m.values[Key].Value) != value || e.State.Head().Hash != root.Hash {
			t.Errorf("%s: events %v, the store has %s", value, *kinds, m.values[Key].Value)
		}
		m.revision = 9
		r := edit(t, e, "a", 1, a.Text)
		if r.Outcome != Accepted || m.stored().EditID != "a" || (value != "{" && r.Head.Revision != 8) {
			t.Errorf("%s: %+v", value, r)
		}
	}
}

// Guards against news messages that crash the process, and against rejected
// messages that change the digest or the document in force.
func FuzzMerge(f *testing.F) {
	docs := documentChain(3, baseText)
	f.Add(string(stateWith(f, docs...).News(stateWith(f, docs[0]).Digest())))
	f.Add(string(stateWith(f, docs...).News(NewState(time.Now).Digest())))
	f.Add(`{"s":[{"r":2,"e":"e","a":"A","t":"2026-01-01T00:00:00Z","l":[{"r":1,"e":"e","h":"0011223344556677","o":true}],"d":[{"a":1,"r":1,"i":["x"]}]}],"h":"AAAA"}`)
	f.Fuzz(func(t *testing.T, message string) {
		s := stateWith(t, docs[0])
		before := s.Head().Hash
		changed, err := s.Merge([]byte(message))
		after := s.Document()
		if changed != (after.Hash != before) || changed && err != nil {
			t.Fatalf("changed %v, %v", changed, err)
		}
		if after.hash() != after.Hash || after.Revision < docs[0].Revision {
			t.Fatalf("in force: %+v", after.Head)
		}
	})
}
