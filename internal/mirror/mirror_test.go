package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
)

// source is a store whose watches can be silenced.
type source struct {
	mu      sync.Mutex
	items   map[string]Item
	history []Event
	at      Revision
	silent  bool
	gone    bool
	err     error
	lists   int
	watches int
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

func (s *source) List(context.Context) ([]Item, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var out []Item
	for _, it := range s.items {
		out = append(out, it)
	}
	return out, s.at, s.err
}

func (s *source) Revision(context.Context) (Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at, s.err
}

func (s *source) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Event, Revision, error) {
	s.set(func() { s.watches++ })
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		var out []Event
		if !s.silent {
			for _, e := range s.history {
				if e.Revision > after {
					out = append(out, e)
				}
			}
		}
		at, gone, err := s.at, s.gone, s.err
		s.mu.Unlock()
		switch {
		case err != nil:
			return nil, 0, err
		case gone:
			return nil, 0, ErrCompacted
		case len(out) > 0:
			return out, at, nil
		case time.Now().After(end):
			return nil, after, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

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
	f.copy = New(func(events []Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range events {
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
		OnUnavailable: func(error) { note("lost") }, OnAvailable: func(time.Duration) { note("regained") }}
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
	t.Fatalf("no %q in %v", want, f.events)
}

func TestFollowsChanges(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.wait(t, "a=1 false")
	f.remove("a")
	f.wait(t, "a= true")
}

// Pattern: the store's watches hear nothing of changes. The comparison of
// revisions finds them within a second.
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

// Pattern: the history is dropped with changes in the gap, removals too.
func TestLostHistory(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.put("b", "1")
	f.wait(t, "b=1 false")
	f.set(func() { f.silent = true })
	f.remove("a")
	f.put("b", "2")
	f.set(func() { f.silent, f.gone = false, true })
	f.wait(t, "a= true")
	f.wait(t, "b=2 false")
	f.set(func() { f.gone = false })
}

func TestOutageIsToldBeforeItsChanges(t *testing.T) {
	f := follow(t, true)
	f.put("a", "1")
	f.wait(t, "a=1 false")
	f.set(func() { f.err = errors.New("down") })
	f.wait(t, "lost")
	f.put("a", "2")
	f.set(func() { f.err = nil })
	f.wait(t, "a=2 false")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e == "regained" {
			return
		}
		if e == "a=2 false" {
			t.Fatal("changes came before the return was told")
		}
	}
}

// An instance that need not watch lists once and makes no further calls.
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

// A copy never goes back, in whatever order states and changes arrive.
func TestCopyNeverGoesBack(t *testing.T) {
	c := New(func([]Event) {})
	c.Replace([]Item{{"a", []byte("5"), 5}}, 5)
	if c.Replace([]Item{{"a", []byte("3"), 3}}, 3) {
		t.Fatal("took an older state")
	}
	c.Apply([]Event{{Item: Item{"a", []byte("4"), 4}}}, 4)
	c.Apply([]Event{{Item: Item{"b", []byte("7"), 7}}}, 7)
	// A listing that began before the change of b must not remove it.
	c.Replace([]Item{{"a", []byte("5"), 5}}, 7)
	items, at := c.Snapshot()
	if at != 7 || len(items) != 1 || string(items[0].Value) != "5" {
		t.Fatalf("%v at %d", items, at)
	}
}

// Other instances take what came after their revision, or a whole copy.
func TestSince(t *testing.T) {
	c := New(func([]Event) {})
	c.Replace([]Item{{"a", []byte("1"), 10}}, 10)
	for r := Revision(11); r < 11+2*logLength; r++ {
		c.Apply([]Event{{Item: Item{"k", []byte(fmt.Sprint(r)), r}}}, r)
	}
	last := Revision(10 + 2*logLength)
	if events, at, ok := c.Since(last - 3); !ok || at != last || len(events) != 3 {
		t.Fatalf("%d changes up to %d, %v", len(events), at, ok)
	}
	if _, _, ok := c.Since(12); ok {
		t.Fatal("the log does not reach back to revision 12")
	}
	if _, _, ok := c.Since(5); ok {
		t.Fatal("revision 5 is before the first listing")
	}
}
