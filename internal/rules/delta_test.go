package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"
)

// Guards against a delta that does not reproduce the new text, and against a delta
// that silently yields a wrong text when applied to an unrelated one.
func TestDeltaReproducesText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "f", "\r"}), 0, 12)
		from := strings.Join(texts.Draw(t, "from"), "\n")
		to := strings.Join(texts.Draw(t, "to"), "\n")
		other := strings.Join(texts.Draw(t, "other"), "\n")
		d := NewDelta(from, to)
		if got, err := d.Apply(from); err != nil || got != to {
			t.Fatalf("got %q, %v; want %q", got, err, to)
		}
		if got, err := d.Apply(other); err == nil && got != to {
			t.Fatalf("applied to %q: got %q, want %q or an error", other, got, to)
		}
	})
}

// Guards against an out-of-range access by edits received from the network.
func TestDeltaRefusesBadEdits(t *testing.T) {
	for _, e := range [][]LineEdit{
		{{At: -1}}, {{At: 3}}, {{At: 0, Remove: -1}}, {{At: 1, Remove: 2}},
		{{At: 1, Remove: int(^uint(0) >> 1)}}, {{At: 1, Remove: 1}, {At: 0}},
	} {
		if _, err := (Delta{Edits: e}).Apply("a\nb"); err == nil {
			t.Errorf("%v applied", e)
		}
	}
}

// Guards against a large delta or a long list of changes for a small edit. All
// instances receive the delta, and operators read the changes.
func TestDiffOfOneEdit(t *testing.T) {
	from := generateFile(1000)
	lines := strings.Split(from, "\n")
	old := lines[500]
	lines[500] = strings.Replace(old, "team", "A. Bello", 1)
	to := strings.Join(slices.Insert(lines, 700, "hold s1 # J. Ade"), "\n")
	if n := NewDelta(from, to).Bytes(); n > 250 {
		t.Errorf("the delta of two lines takes %d bytes", n)
	}
	got := Diff(from, to)
	want := []Change{
		newChange(false, 501, old), newChange(true, 501, lines[500]),
		{Added: true, Line: 701, Rule: "hold s1", Requester: "J. Ade"},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
}

// generateFile returns a rules file of n lines: the regions and services of the
// target deployment, and callers lines for the rest.
func generateFile(n int) string {
	var b strings.Builder
	lines := 0
	add := func(format string, args ...any) {
		if lines < n {
			fmt.Fprintf(&b, format+" # network team\n", args...)
			lines++
		}
	}
	for r := range 10 {
		add("region r%d r%d-a,r%d-b", r, r, r)
	}
	for s := range 4 {
		add("service s%d priority %d", s, s%3+1)
	}
	for r := range 10 {
		for s := range 4 {
			add("capacity r%d s%d 48", r, s)
		}
	}
	for i := 0; lines < n; i++ {
		add("callers %d.%d.%d.0/24 r%d", 10+i>>16, i>>8&255, i&255, i%10)
	}
	return b.String()
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, text string)) {
	for _, n := range []int{20, 1_000, 10_000} {
		text := generateFile(n)
		b.Run(fmt.Sprintf("lines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			run(b, text)
		})
	}
}

func BenchmarkCapacityRulesParse(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, text string) {
		for b.Loop() {
			if _, err := Parse(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacityRulesDelta measures computing and applying the delta of one
// added line.
func BenchmarkCapacityRulesDelta(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, text string) {
		to := text + "hold s1 # A. Bello\n"
		for b.Loop() {
			if _, err := NewDelta(text, to).Apply(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkCapacityRulesClassify(b *testing.B) {
	set, err := Parse(exampleFile)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		set.Classify("entries", "GET", "/seedings/now/event/12")
	}
}
