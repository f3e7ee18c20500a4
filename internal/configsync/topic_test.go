package configsync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/rules"
)

// documentChain returns n documents, each of which adds a line to the previous
// one.
func documentChain(n int, text string) []Document {
	var docs []Document
	doc := Document{}
	for i := range n {
		text += lineOf(fmt.Sprint("x", i))
		doc = doc.edit(Request{Text: text, Author: "A. Bello", EditID: fmt.Sprintf("%026d", i)}, time.Unix(1e9, 0), 0)
		docs = append(docs, doc)
	}
	return docs
}

func stateWith(t testing.TB, docs ...Document) *State {
	s := NewState(time.Now)
	for _, d := range docs {
		if v, err := s.Apply(d); v != Applied || err != nil {
			t.Fatal(v, err)
		}
	}
	return s
}

// largeText returns a rules file with the given number of callers lines.
func largeText(lines int) string {
	var b strings.Builder
	b.WriteString(baseText)
	for i := range lines {
		fmt.Fprintf(&b, "callers 10.%d.%d.0/24 lagos # network team\n", i>>8, i&255)
	}
	return b.String()
}

// Guards against sending the full text where deltas suffice, and against a
// neighbour that missed edits and never catches up.
func TestNewsIsSmallestThatSuffices(t *testing.T) {
	docs := documentChain(maxDeltas+4, largeText(1000))
	ahead := stateWith(t, docs...)
	for missed, small := range map[int]bool{1: true, maxDeltas: true, maxDeltas + 1: false} {
		behind := stateWith(t, docs[len(docs)-1-missed])
		news := ahead.News(behind.Digest())
		if (len(news) < 10_000) != small {
			t.Errorf("%d edits missed: %d bytes of news", missed, len(news))
		}
		changed, err := behind.Merge(news)
		if !changed || err != nil || behind.Head().Hash != ahead.Head().Hash {
			t.Errorf("%d edits missed: changed %v, %v", missed, changed, err)
		}
		if again, err := behind.Merge(news); again || err != nil {
			t.Errorf("the same news again: changed %v, %v", again, err)
		}
	}
	if len(ahead.Digest()) > membership.MaxDigestBytes || ahead.News(ahead.Digest()) != nil {
		t.Error("there is news for an up-to-date instance, or the digest is too long")
	}
}

// Guards against an instance that never catches up because a delta does not
// match its text. Its next digest requests the full text.
func TestFailedDeltaIsReplacedByText(t *testing.T) {
	docs := documentChain(3, largeText(1000))
	ahead, behind := stateWith(t, docs...), stateWith(t, docs[0])
	news := strings.Replace(string(ahead.News(behind.Digest())), "drain endpoint x2", "drain endpoint y2", 1)
	if changed, err := behind.Merge([]byte(news)); changed || err == nil {
		t.Fatalf("damaged delta: changed %v, %v", changed, err)
	}
	if changed, err := behind.Merge(ahead.News(behind.Digest())); !changed || err != nil {
		t.Errorf("news after a failed delta: changed %v, %v", changed, err)
	}
}

// Guards against invalid news messages that crash the process or change the
// document in force, and against a message limit that the largest file exceeds.
func TestMergeRefuses(t *testing.T) {
	good := stateWith(t, documentChain(2, baseText)...)
	before := good.Head().Hash
	for _, news := range []string{
		"", "{}", "null", "[]", `{"s":[{}],"h":"AAAA"}`, `{"doc":{"revision":9}}`,
		`{"doc":{"revision":9,"edit_id":"e","author":"A","text":"hold x # A"}}`,
		`{"s":[{"r":9,"e":"e","a":"A","d":[{"a":-1}]}],"h":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}`,
		strings.Repeat(" ", membership.MaxNewsBytes+1),
	} {
		if changed, err := good.Merge([]byte(news)); changed || err == nil {
			t.Errorf("%.60q: changed %v, %v", news, changed, err)
		}
	}
	if good.Head().Hash != before {
		t.Error("rejected news changed the document in force")
	}
	line := "# " + strings.Repeat("\\", 500) + "\n"
	text := baseText + strings.Repeat(line, (rules.MaxStoredBytes-100)/1004)
	doc := Document{}.edit(Request{Text: text, Author: strings.Repeat("A", MaxAuthorBytes), EditID: strings.Repeat("e", MaxEditIDBytes)}, time.Unix(1e9, 0), 0)
	for range maxLineage {
		doc = doc.reissue(Head{})
	}
	if _, err := doc.Encode(); err != nil {
		t.Error(err)
	}
	if news := stateWith(t, doc).News(NewState(time.Now).Digest()); len(news) < len(text) || len(news) > membership.MaxNewsBytes {
		t.Errorf("%d bytes of news for a text of %d", len(news), len(text))
	}
}

// Guards against a slow subscriber that blocks a change or receives outdated
// rules.
func TestSubscribersGetTheLatest(t *testing.T) {
	docs := documentChain(3, baseText)
	s := stateWith(t, docs[0])
	ch, cancel := s.Subscribe()
	s.Apply(docs[1])
	s.Apply(docs[2])
	if set := <-ch; set != s.Rules() || !set.DrainEndpoints["x2"] {
		t.Error("the subscriber received outdated rules")
	}
	cancel()
}

// spread runs rounds in which each instance exchanges news with each of its
// neighbours once, until no instance has news for another. It returns the number
// of rounds, and the bytes of news received by the instance that received most
// and by all instances together. With fullText, all news has the full document.
func spread(t *testing.T, states []*State, neighbours [][]int, fullText bool) (rounds, most, total int) {
	received := make([]int, len(states))
	for done := false; !done; rounds++ {
		if rounds > len(states) {
			t.Fatal("the document does not reach all instances")
		}
		var merges []func()
		request := func(to, from int) {
			digest := states[to].Digest()
			if fullText {
				clear(digest[8:])
			}
			if news := states[from].News(digest); news != nil {
				received[to] += len(news)
				merges = append(merges, func() { states[to].Merge(news) })
			}
		}
		for i, list := range neighbours {
			for _, j := range list {
				request(i, j)
				request(j, i)
			}
		}
		for _, merge := range merges {
			merge()
		}
		done = len(merges) == 0
	}
	for _, n := range received {
		most = max(most, n)
		total += n
	}
	return rounds - 1, most, total
}

// randomNeighbours returns the neighbours of n instances: four of the same region,
// which has 40 instances, and one of any region.
func randomNeighbours(n int, r *rand.Rand) [][]int {
	const region = 40
	out := make([][]int, n)
	for i := range out {
		first := i / region * region
		for range 4 {
			out[i] = append(out[i], first+r.IntN(min(region, n-first)))
		}
		out[i] = append(out[i], r.IntN(n))
	}
	return out
}

// Guards against a change that takes many exchanges to reach all instances, or
// that makes an instance exceed its 2 KB/s at 13,000 changes a day.
func TestSpread(t *testing.T) {
	docs := documentChain(2, largeText(300))
	for _, n := range []int{200, 500} {
		neighbours := randomNeighbours(n, rand.New(rand.NewPCG(1, uint64(n))))
		var bytes [2]int
		for i, fullText := range []bool{false, true} {
			states := make([]*State, n)
			for k := range states {
				states[k] = stateWith(t, docs[0])
			}
			states[0].Apply(docs[1])
			rounds, most, total := spread(t, states, neighbours, fullText)
			bytes[i] = total
			t.Logf("%d instances, text of %d bytes, fullText=%v: %d rounds, %d bytes per instance (most %d), %.0f bytes/s at 13,000 changes a day",
				n, len(docs[1].Text), fullText, rounds, total/n, most, float64(total/n)*13000/86400)
			if rounds > 8 {
				t.Errorf("%d rounds", rounds)
			}
		}
		if perSecond := bytes[0] / n * 13000 / 86400; perSecond > 1000 || bytes[0]*20 > bytes[1] {
			t.Errorf("deltas: %d bytes/s for each instance; %d of %d bytes with full texts", perSecond, bytes[0], bytes[1])
		}
	}
}

// Guards against keeping deltas of large edits that together take up to 16 times
// the memory of the rules text.
func TestKeptDeltasAreBounded(t *testing.T) {
	doc := Document{}
	s := NewState(time.Now)
	for i := range maxDeltas {
		text := largeText(300) + lineOf(fmt.Sprint("y", i)) + strings.Repeat(fmt.Sprintf("# %d %s\n", i, strings.Repeat("x", 900)), 10)
		doc = doc.edit(Request{Text: text, Author: "A", EditID: fmt.Sprint("e", i)}, time.Unix(1e9, 0), 0)
		if v, err := s.Apply(doc); v != Applied || err != nil {
			t.Fatal(v, err)
		}
	}
	size := 0
	for _, st := range s.deltas {
		size += st.size
	}
	if size > len(doc.Text) || len(s.deltas) == 0 {
		t.Errorf("%d deltas take %d bytes, the text %d", len(s.deltas), size, len(doc.Text))
	}
}
