package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Guards against ejections that the other instances do not learn of, learn of
// twice, or learn of after they are out of date.
func TestEjectionNews(t *testing.T) {
	clock := time.Unix(1000, 0)
	newNews := func(got *[]model.EndpointID) *EjectionNews {
		n := NewEjectionNews(rand.New(rand.NewPCG(1, 2)), func(id model.EndpointID) { *got = append(*got, id) })
		n.now = func() time.Time { return clock }
		return n
	}
	var gotA, gotB []model.EndpointID
	a, b := newNews(&gotA), newNews(&gotB)
	if a.Digest() != nil || a.News(nil) != nil {
		t.Error("news without ejections")
	}
	if !a.Report([]model.EndpointID{"e1"}) || a.Report([]model.EndpointID{"e1"}) {
		t.Error("an ejection is news once")
	}
	news := a.News(b.Digest())
	for _, want := range []bool{true, false} {
		if changed, err := b.Merge(news); err != nil || changed != want {
			t.Errorf("merge: changed %v, %v, want %v", changed, err, want)
		}
	}
	if len(gotB) != 1 || gotB[0] != "e1" || len(gotA) != 0 {
		t.Errorf("told %v and %v", gotA, gotB)
	}
	if b.Report([]model.EndpointID{"e1"}) || b.News(a.Digest()) != nil {
		t.Error("the same ejection is reported by two instances")
	}
	clock = clock.Add(newsTTL)
	if a.Digest() != nil {
		t.Error("old news is passed on")
	}
	if changed, _ := b.Merge(news); changed {
		t.Error("a late copy is taken for news")
	}
	if _, err := b.Merge([]byte("{")); err == nil {
		t.Error("malformed news accepted")
	}
}
