package mirror

import (
	"context"
	"testing"
	"time"
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
