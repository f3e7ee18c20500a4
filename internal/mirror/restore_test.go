package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Guards against a copy that ignores a later era because its revisions are
// smaller, or that returns to an earlier one because of a delayed answer.
func TestCopyOrdersErasFirst(t *testing.T) {
	var got []Batch
	c := New(func(b Batch) { got = append(got, b) })
	c.Replace("", []Item{{"a", []byte("1"), 3}, {"b", []byte("1"), 9}, {"c", []byte("1"), 1}}, Position{1, 9})
	if c.Apply("", []Event{{Item: Item{"a", []byte("2"), 10}}}, Position{2, 10}) {
		t.Error("changes of a later era were applied to a copy of an earlier one")
	}
	if !c.Replace("", []Item{{"a", []byte("1"), 3}, {"b", []byte("2"), 9}}, Position{2, 5}) {
		t.Error("a listing of a later era was refused")
	}
	last := got[len(got)-1]
	if !last.Restored || last.Era != 2 || len(last.Events) != 2 || string(last.Events[0].Value) != "2" || last.Events[1].Key != "c" || !last.Events[1].Deleted {
		t.Errorf("changes %+v, want b=2 and c deleted", last)
	}
	if _, _, ok := c.Since(Position{1, 9}); ok {
		t.Error("the changes since a position of an earlier era are known")
	}
	if c.Replace("", nil, Position{1, 99}) || c.Apply("", []Event{{Item: Item{"a", nil, 99}, Deleted: true}}, Position{1, 99}) {
		t.Error("a delayed answer of an earlier era was accepted")
	}
	if at, _ := c.Position(time.Now()); at != (Position{2, 5}) {
		t.Errorf("copy at %+v", at)
	}
}

// delayedSource answers listings in an earlier era than that of its watches.
type delayedSource struct{ *source }

func (s delayedSource) List(ctx context.Context) ([]Item, Position, error) {
	items, at, err := s.source.List(ctx)
	return items, Position{1, at.Revision}, err
}

// Guards against a store that is called without a pause because its listings are
// of an earlier era than the copy.
func TestDelayedListingsAreRetriedSlowly(t *testing.T) {
	c := New(func(Batch) {})
	c.Replace("", nil, Position{2, 1})
	s := delayedSource{newSource()}
	f := Follower{Copy: c, Source: s, Active: func() bool { return true }, WatchTimeout: time.Second, VerifyInterval: time.Second,
		RetryMin: 20 * time.Millisecond, RetryMax: 20 * time.Millisecond, OnUnavailable: func(error) {}, OnAvailable: func(time.Duration) {}}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	if s.lists < 2 || s.lists > 11 {
		t.Errorf("%d listings in 200 ms with pauses of 20 ms", s.lists)
	}
}

// eraSource is a source that reports an era.
type eraSource struct {
	*source
	era atomic.Uint64
}

func (s *eraSource) in(p Position) Position { p.Era = model.Era(s.era.Load()); return p }

func (s *eraSource) List(ctx context.Context) ([]Item, Position, error) {
	items, at, err := s.source.List(ctx)
	return items, s.in(at), err
}

func (s *eraSource) Position(ctx context.Context) (Position, error) {
	at, err := s.source.Position(ctx)
	return s.in(at), err
}

func (s *eraSource) Watch(ctx context.Context, after Position, wait time.Duration) ([]Event, Position, error) {
	events, at, err := s.source.Watch(ctx, after, wait)
	return events, s.in(at), err
}

// Guards against a copy that never gets a change again because the store has
// stopped reporting its era, or has lost the count of its eras.
func TestStoreInAnEarlierEraIsFollowed(t *testing.T) {
	c := New(func(Batch) {})
	s := &eraSource{source: newSource()}
	s.era.Store(2)
	f := Follower{Copy: c, Source: s, Active: func() bool { return true }, WatchTimeout: 20 * time.Millisecond, VerifyInterval: 20 * time.Millisecond,
		RetryMin: 5 * time.Millisecond, RetryMax: 20 * time.Millisecond, OnUnavailable: func(error) {}, OnAvailable: func(time.Duration) {},
		OnRestored: func(Position, Position) {}, OnCompacted: func(Position) {}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	has := func(key string) bool {
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			items, _ := c.Snapshot()
			for _, it := range items {
				if it.Key == key {
					return true
				}
			}
		}
		return false
	}
	s.put("a", "1")
	if !has("a") {
		t.Fatal("a is missing")
	}
	s.era.Store(0)
	s.put("b", "1")
	if !has("b") {
		t.Error("b, which was written in an earlier era, is missing after 2 s")
	}
}

// Guards against a copy that is replaced by late listings of an earlier era, and
// against positions that go back if the store has lost the count of its eras.
func TestListingsOfAnEarlierEra(t *testing.T) {
	var e eras
	now, copied := time.Now(), Position{3, 50}
	list := func(era model.Era, after time.Duration) (Position, bool) {
		return e.listed(Position{era, 40}, copied, copied, now.Add(after))
	}
	for _, x := range []struct {
		era   model.Era
		after time.Duration
	}{{1, 0}, {1, 5 * time.Second}, {2, 6 * time.Second}, {2, 6100 * time.Millisecond}, {2, 6200 * time.Millisecond}} {
		if _, ok := list(x.era, x.after); ok {
			t.Fatalf("a listing of era %d was accepted after %s", x.era, x.after)
		}
	}
	if at, ok := list(2, 8*time.Second); !ok || at != (Position{4, 40}) {
		t.Errorf("position %+v, accepted %v", at, ok)
	}
	if at := e.translate(Position{2, 41}); at != (Position{4, 41}) {
		t.Errorf("next position %+v", at)
	}
}
