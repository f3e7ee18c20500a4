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

// fixedFleet gives the same answers to all questions.
type fixedFleet struct {
	answers []RelayHead
	asked   int
}

func (f fixedFleet) Heads(context.Context) ([]RelayHead, int) { return f.answers, f.asked }
func (f fixedFleet) Offer(context.Context, Document, Document) ([]RelayHead, int) {
	return f.answers, f.asked
}
func (f fixedFleet) Fetch(context.Context, model.InstanceID) (Document, error) {
	return Document{}, store.ErrNotFound
}

func heads(docs ...Document) (out []RelayHead) {
	for _, d := range docs {
		out = append(out, RelayHead{Head: d.Head})
	}
	return out
}

// branches returns a root, two documents on it, and one on the second.
func branches() (root, a, b, c Document) {
	next := func(d Document, id string) Document {
		return d.edit(Request{Text: d.Text + lineOf(id), Author: "A", EditID: id}, time.Unix(1, 0), 0)
	}
	root = Document{}.edit(Request{Text: baseText, Author: "A", EditID: "root"}, time.Unix(1, 0), 0)
	b = next(root, "b")
	return root, next(root, "a"), b, next(b, "c")
}

// Guards against an accepted edit that is overruled: it is in force at a
// majority of the relays, and a relay that does not see a majority waits.
func TestForkIsResolvedByMajority(t *testing.T) {
	root, a, b, c := branches()
	for name, x := range map[string]struct {
		answers []RelayHead
		asked   int
		graced  bool
		want    string
	}{
		"alone":                       {nil, 0, false, "a"},
		"started, one each":           {heads(a, b), 2, false, ""},
		"started, others have ours":   {heads(a, a), 2, false, "a"},
		"started, one each, grace":    {heads(a, b), 2, true, "b"},
		"two of three have ours":      {heads(a), 2, false, "a"},
		"two of three have theirs":    {heads(b, b), 2, false, "b"},
		"a descendant counts":         {heads(c, b), 2, false, "b"},
		"one each":                    {heads(b), 2, false, ""},
		"one has neither":             {heads(b, root), 2, false, ""},
		"one each after the grace":    {heads(b), 2, true, "b"},
		"most answers, grace":         {heads(a), 4, true, "a"},
		"most answers, before grace":  {heads(a), 4, false, ""},
		"most answers are theirs":     {heads(b, b), 4, true, "b"},
		"no answers, before the time": {nil, 2, false, ""},
	} {
		now := time.Unix(1e9, 0)
		s := NewState(func() time.Time { return now })
		s.Apply(a)
		s.setInformed(!strings.HasPrefix(name, "started"))
		m := newMemory()
		m.set(t, b)
		d, _ := driver(s, m, yes)
		d.Relays = fixedFleet{x.answers, x.asked}
		_, err := d.pass(t.Context())
		if x.graced {
			now = now.Add(forkGrace)
			_, err = d.pass(t.Context())
		}
		stored := m.stored()
		if x.want == "" {
			if err == nil || stored.Hash != b.Hash {
				t.Errorf("%s: %v, the store has %s", name, err, stored.EditID)
			}
			continue
		}
		if err != nil || stored.EditID != x.want || stored.Revision != 3 || s.Head().Hash != stored.Hash {
			t.Errorf("%s: %v, revision %d of %s", name, err, stored.Revision, stored.EditID)
		}
		for _, loser := range []Document{a, b} {
			if stored.relate(loser.Head) != newer {
				t.Errorf("%s: holders of %s do not take the result", name, loser.EditID)
			}
		}
	}
}

// Guards against "accepted" without a majority of relays, with one that has
// another branch, or although the store has lost the edit again.
func TestConfirmNeedsMajority(t *testing.T) {
	root, a, b, c := branches()
	for name, x := range map[string]struct {
		answers []RelayHead
		asked   int
		want    Outcome
	}{
		"all":                    {heads(b, b), 2, Accepted},
		"two of three":           {heads(b), 2, Accepted},
		"later edit":             {heads(c, c), 2, Accepted},
		"one of two":             {nil, 1, Unknown},
		"two of four":            {heads(b, root), 3, Unknown},
		"one has another branch": {heads(b, b, b, a), 4, Unknown},
	} {
		m := newMemory()
		m.set(t, b)
		e := relays(1, m)[0]
		e.Relays = fixedFleet{x.answers, x.asked}
		e.pause = func(context.Context, int) error { return context.DeadlineExceeded }
		res := e.confirm(t.Context(), Request{EditID: "b"}, root, b)
		if res.Outcome != x.want || res.Head.Revision != 2 {
			t.Errorf("%s: %+v", name, res)
		}
	}
	m := newMemory()
	m.set(t, root)
	e := relays(1, m)[0]
	e.Relays = fixedFleet{heads(b, b), 2}
	e.pause = func(context.Context, int) error { return context.DeadlineExceeded }
	if res := e.confirm(t.Context(), Request{EditID: "b"}, root, b); res.Outcome != Unknown {
		t.Errorf("the store was restored meanwhile: %+v", res)
	}
}

// Guards against two groups of instances that keep different rules of one
// revision when the store shows no fork.
func TestRelayEndsForkSeenInGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		root, a, b, _ := branches()
		other := stateWith(t, root, b)
		s := stateWith(t, root, a)
		m := newMemory()
		m.set(t, a)
		ctx, cancel := context.WithCancel(t.Context())
		d, _ := driver(s, m, yes)
		go d.Run(ctx)
		for range 20 {
			s.News(other.Digest())
			time.Sleep(time.Second)
		}
		if changed, err := other.Merge(s.News(other.Digest())); !changed || err != nil || other.Head().EditID != "a" || other.Head().Hash != m.stored().Hash {
			t.Errorf("changed %v, %v; revision %d of %s", changed, err, other.Head().Revision, other.Head().EditID)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that keeps another branch for good after all
// relays have moved on, and against one that gives its branch up at once.
func TestForkedInstanceFollowsAfterGrace(t *testing.T) {
	_, a, _, c := branches()
	now := time.Unix(1e9, 0)
	s := NewState(func() time.Time { return now })
	s.Apply(a)
	for _, after := range []time.Duration{0, forkGrace - 1} {
		now = now.Add(after)
		if v, err := s.Apply(c); v != Rejected || err != nil {
			t.Errorf("after %s: %v, %v", after, v, err)
		}
	}
	now = now.Add(forkGrace)
	if v, err := s.Apply(c); v != Applied || err != nil {
		t.Errorf("after the grace: %v, %v", v, err)
	}
}

// Guards against a value written by hand that stops a relay, is overwritten by
// it (a newer version may have written it), or blocks all further edits.
func TestUnreadableValueIsLeftToEditors(t *testing.T) {
	root, a, _, _ := branches()
	for _, value := range []string{"{", `{"revision":7,"edit_id":"x","author":"A","text":"hold x # A"}`} {
		m := newMemory()
		m.set(t, root)
		e := relays(1, m)[0]
		d, kinds := driver(e.State, m, yes)
		e.State.Apply(root)
		m.values[Key] = store.KeyValue{Key: Key, Value: []byte(value), Revision: 9}
		for range 2 {
			if _, err := d.pass(t.Context()); err != nil {
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

// Guards against news from the network that stops the process, and against a
// digest or document that changes with refused news.
func FuzzMerge(f *testing.F) {
	docs := chain(3, baseText)
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
