package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
)

// source is a fake store. Its watches can be made to deliver nothing (silent)
// or to fail for lack of history (compacted), and all calls can be made to fail
// (err).
type source struct {
	mu        sync.Mutex
	items     map[string]Item
	history   []Event
	at        Revision
	silent    bool
	compacted bool
	err       error
	lists     int
	watches   int
}

func newSource() *source { return &source{items: map[string]Item{}, at: 1} }

func (s *source) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.items[key] = Item{key, []byte(value), s.at}
	s.history = append(s.history, Event{Item: s.items[key]})
}

func (s *source) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	delete(s.items, key)
	s.history = append(s.history, Event{Item: Item{Key: key, Revision: s.at}, Deleted: true})
}

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *source) List(context.Context) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var out []Item
	for _, it := range s.items {
		out = append(out, it)
	}
	return out, Position{Revision: s.at}, s.err
}

func (s *source) Position(context.Context) (Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Position{Revision: s.at}, s.err
}

func (s *source) Watch(ctx context.Context, after Position, wait time.Duration) ([]Event, Position, error) {
	s.set(func() { s.watches++ })
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		var out []Event
		if !s.silent {
			for _, e := range s.history {
				if e.Revision > after.Revision {
					out = append(out, e)
				}
			}
		}
		at, compacted, err := Position{Revision: s.at}, s.compacted, s.err
		s.mu.Unlock()
		switch {
		case err != nil:
			return nil, Position{}, err
		case compacted:
			return nil, Position{}, ErrCompacted
		case len(out) > 0:
			return out, at, nil
		case time.Now().After(end):
			return nil, after, nil
		}
		select {
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// follower runs a Follower of a fake source and records its changes and
// callbacks.
type follower struct {
	*source
	copy   *Copy
	mu     sync.Mutex
	events []string
	active bool
	stop   func()
}

func follow(t *testing.T, active bool) *follower {
	f := &follower{source: newSource(), active: active}
	f.copy = New(func(b Batch) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range b.Events {
			f.events = append(f.events, fmt.Sprintf("%s=%s %v", e.Key, e.Value, e.Deleted))
		}
	})
	note := func(text string) {
		f.mu.Lock()
		f.events = append(f.events, text)
		f.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	fl := &Follower{Copy: f.copy, Source: f.source, Active: func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.active },
		WatchTimeout: 10 * time.Second, VerifyInterval: 50 * time.Millisecond, BatchDelay: time.Millisecond, RetryMin: 5 * time.Millisecond, RetryMax: 20 * time.Millisecond,
		OnUnavailable: func(error) { note("unavailable") }, OnAvailable: func(time.Duration) { note("available") },
		OnCompacted: func(Position) { note("compacted") }, OnRestored: func(Position, Position) { note("restored") }}
	group.Add(1)
	go func() { defer group.Done(); fl.Run(ctx) }()
	f.stop = func() { cancel(); group.Wait() }
	t.Cleanup(f.stop)
	return f
}

func (f *follower) wait(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		f.mu.Lock()
		for _, e := range f.events {
			if e == want {
				f.mu.Unlock()
				return
			}
		}
		f.mu.Unlock()
	}
	t.Fatalf("no %q within 2 s in %v", want, f.events)
}

// Guards against written or removed keys that do not reach the copy.
func TestFollowsChanges(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.wait(t, "a=1 false")
	f.remove("a")
	f.wait(t, "a= true")
}

// Guards against a copy that stays outdated because the watches of the store
// deliver no changes. The comparison of revisions detects this within a second.
func TestSilentWatchIsNoticed(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.wait(t, "a=1 false")
	f.set(func() { f.silent = true })
	start := time.Now()
	f.put("a", "2")
	f.wait(t, "a=2 false")
	if took := time.Since(start); took > time.Second {
		t.Fatalf("took %s", took)
	}
}

// Guards against missing changes, removals included, that the store has compacted
// before a watch delivered them.
func TestLostHistory(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.put("b", "1")
	f.wait(t, "b=1 false")
	f.set(func() { f.silent = true })
	f.remove("a")
	f.put("b", "2")
	f.set(func() { f.silent, f.compacted = false, true })
	f.wait(t, "a= true")
	f.wait(t, "b=2 false")
	f.set(func() { f.compacted = false })
}

// Guards against applying the changes made during an outage before its end is
// reported: entries that expired in it would count as removed.
func TestOutageIsReportedBeforeItsChanges(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.wait(t, "a=1 false")
	f.set(func() { f.err = errors.New("down") })
	f.wait(t, "unavailable")
	f.put("a", "2")
	f.set(func() { f.err = nil })
	f.wait(t, "a=2 false")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e == "available" {
			return
		}
		if e == "a=2 false" {
			t.Fatal("changes were applied before the end of the outage was reported")
		}
	}
}

// Guards against calls of the store by an instance that is not to watch it,
// except for the first listing.
func TestInactiveMakesNoCalls(t *testing.T) {
	f := follow(t, false)
	for !f.copy.Loaded() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	f.set(func() {
		if f.lists != 1 || f.watches != 0 {
			t.Errorf("%d lists and %d watches", f.lists, f.watches)
		}
	})
	f.mu.Lock()
	f.active = true
	f.mu.Unlock()
	f.put("a", "1")
	f.wait(t, "a=1 false")
}

// Guards against a copy that returns to an older revision because listings and
// changes arrive out of order.
func TestCopyNeverGoesBack(t *testing.T) {
	c := New(func(Batch) {})
	c.Replace("", []Item{{"a", []byte("5"), 5}}, Position{Revision: 5})
	if c.Replace("", []Item{{"a", []byte("3"), 3}}, Position{Revision: 3}) {
		t.Fatal("an older listing was accepted")
	}
	c.Apply("", []Event{{Item: Item{"a", []byte("4"), 4}}}, Position{Revision: 4})
	c.Apply("", []Event{{Item: Item{"b", []byte("7"), 7}}}, Position{Revision: 7})
	// A listing at revision 7 without b means that b was removed by then.
	c.Replace("", []Item{{"a", []byte("5"), 5}}, Position{Revision: 7})
	items, at := c.Snapshot()
	if at.Revision != 7 || len(items) != 1 || string(items[0].Value) != "5" {
		t.Fatalf("items %v at revision %d, want a=5 only at revision 7", items, at.Revision)
	}
}

// Guards against an incomplete list of changes for another instance: if the log
// does not reach back to its revision, it has to fetch a full copy.
func TestSince(t *testing.T) {
	c := New(func(Batch) {})
	c.Replace("", []Item{{"a", []byte("1"), 10}}, Position{Revision: 10})
	for r := Revision(11); r < 11+2*maxLogLength; r++ {
		c.Apply("", []Event{{Item: Item{"k", []byte(fmt.Sprint(r)), r}}}, Position{Revision: r})
	}
	last := Revision(10 + 2*maxLogLength)
	if events, at, ok := c.Since(Position{Revision: last - 3}); !ok || at.Revision != last || len(events) != 3 {
		t.Fatalf("%d changes up to %d, %v", len(events), at.Revision, ok)
	}
	if _, _, ok := c.Since(Position{Revision: 12}); ok {
		t.Fatal("changes since revision 12, to which the log does not reach back")
	}
	if _, _, ok := c.Since(Position{Revision: 5}); ok {
		t.Fatal("changes since revision 5, which is before the first listing")
	}
}
