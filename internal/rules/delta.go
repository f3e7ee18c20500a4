package rules

import (
	"crypto/sha256"
	"slices"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// ErrDeltaMismatch means that a Delta was applied to a text for which it was not
// computed. The full new text is needed instead.
const ErrDeltaMismatch = errors.ConstError("delta does not match the text")

// LineEdit replaces lines of a text.
type LineEdit struct {
	// At is the first line to replace, counted from 0 in the old text.
	At int
	// Remove is how many lines are removed.
	Remove int
	// Insert holds the lines that replace them, without newlines.
	Insert []string
}

// Delta is the change from one text to another. Edits are in the order of the
// old text and do not overlap.
type Delta struct {
	Edits []LineEdit
	// Hash is the SHA-256 of the new text.
	Hash [sha256.Size]byte
}

// Bytes returns the approximate size of the delta in a message.
func (d Delta) Bytes() int {
	n := len(d.Hash)
	for _, e := range d.Edits {
		n += 8
		for _, l := range e.Insert {
			n += len(l) + 2
		}
	}
	return n
}

// NewDelta returns the Delta from one text to another.
func NewDelta(from, to string) Delta {
	return Delta{
		Edits: lineEdits(strings.Split(from, "\n"), strings.Split(to, "\n")),
		Hash:  sha256.Sum256([]byte(to)),
	}
}

// Apply applies the delta to a text. It returns ErrDeltaMismatch unless the
// result is exactly the new text of the delta.
func (d Delta) Apply(from string) (string, error) {
	text, err := ApplyEdits(from, d.Edits)
	if err != nil {
		return "", err
	}
	if sha256.Sum256([]byte(text)) != d.Hash {
		return "", errors.Annotate(ErrDeltaMismatch, "the result has another hash")
	}
	return text, nil
}

// ApplyEdits applies edits without checking the result, for callers that check a
// hash themselves. It returns ErrDeltaMismatch if edits overlap or lie outside
// the text.
func ApplyEdits(from string, edits []LineEdit) (string, error) {
	old := strings.Split(from, "\n")
	var lines []string
	next := 0
	for _, e := range edits {
		if e.At < next || e.Remove < 0 || e.At > len(old) || e.Remove > len(old)-e.At {
			return "", errors.Annotatef(ErrDeltaMismatch, "edit at line %d of %d", e.At+1, len(old))
		}
		lines = append(lines, old[next:e.At]...)
		lines = append(lines, e.Insert...)
		next = e.At + e.Remove
	}
	lines = append(lines, old[next:]...)
	return strings.Join(lines, "\n"), nil
}

// lineEdits matches the lines that occur exactly once in both texts, and replaces
// the lines between the matches. Rules are unique within a file, so only blank
// lines and lines with only a comment can be repeated and stay unmatched.
func lineEdits(old, new []string) []LineEdit {
	var edits []LineEdit
	nextOld, nextNew := 0, 0
	for _, m := range append(commonUniqueLines(old, new), match{len(old), len(new)}) {
		edits = appendEdit(edits, old, new, nextOld, m.old, nextNew, m.new)
		nextOld, nextNew = m.old+1, m.new+1
	}
	return edits
}

// appendEdit appends the edit that turns old[a:b] into new[c:d], without the lines
// that both have at the start and at the end. It appends none if they are equal.
func appendEdit(edits []LineEdit, old, new []string, a, b, c, d int) []LineEdit {
	for a < b && c < d && old[a] == new[c] {
		a++
		c++
	}
	for a < b && c < d && old[b-1] == new[d-1] {
		b--
		d--
	}
	if a == b && c == d {
		return edits
	}
	return append(edits, LineEdit{At: a, Remove: b - a, Insert: slices.Clone(new[c:d])})
}

// match pairs a line of the old text with the same line of the new one.
type match struct{ old, new int }

// commonUniqueLines returns the longest list of lines that are unique in both
// texts and whose positions increase in both.
func commonUniqueLines(old, new []string) []match {
	inOld, inNew := uniqueLines(old), uniqueLines(new)
	var pairs []match
	for i, l := range old {
		j, found := inNew[l]
		if k, unique := inOld[l]; found && unique && j >= 0 && k >= 0 {
			pairs = append(pairs, match{i, j})
		}
	}
	return longestIncreasing(pairs)
}

// uniqueLines maps each line to its position, or to -1 if it occurs repeatedly.
func uniqueLines(lines []string) map[string]int {
	at := make(map[string]int, len(lines))
	for i, l := range lines {
		if _, repeated := at[l]; repeated {
			i = -1
		}
		at[l] = i
	}
	return at
}

// longestIncreasing returns the longest subsequence of pairs in which the
// positions in the new text increase. It uses patience sorting.
func longestIncreasing(pairs []match) []match {
	ends := make([]int, 0, len(pairs))
	previous := make([]int, len(pairs))
	for i, p := range pairs {
		n := sort.Search(len(ends), func(k int) bool { return pairs[ends[k]].new >= p.new })
		previous[i] = -1
		if n > 0 {
			previous[i] = ends[n-1]
		}
		if n == len(ends) {
			ends = append(ends, i)
		} else {
			ends[n] = i
		}
	}
	if len(ends) == 0 {
		return nil
	}
	out := make([]match, len(ends))
	for k, i := len(ends)-1, ends[len(ends)-1]; k >= 0; k, i = k-1, previous[i] {
		out[k] = pairs[i]
	}
	return out
}

// Change is one line that an edit added or removed.
type Change struct {
	// Added is false for a removed line.
	Added bool `json:"added"`
	// Line counts from 1, in the new text if Added and in the old text otherwise.
	Line int `json:"line"`
	// Rule is the line without its comment, Requester the comment.
	Rule      string `json:"rule"`
	Requester string `json:"asker"`
}

func (c Change) String() string {
	sign := "-"
	if c.Added {
		sign = "+"
	}
	if c.Requester == "" {
		return sign + " " + c.Rule
	}
	return strings.TrimRight(sign+" "+c.Rule, " ") + " # " + c.Requester
}

// Diff returns the lines that differ between two texts, removed lines before
// those that replace them.
func Diff(from, to string) []Change {
	old, new := strings.Split(from, "\n"), strings.Split(to, "\n")
	var out []Change
	shift := 0
	for _, e := range lineEdits(old, new) {
		for i, l := range old[e.At : e.At+e.Remove] {
			out = append(out, newChange(false, e.At+i+1, l))
		}
		for i, l := range e.Insert {
			out = append(out, newChange(true, e.At+shift+i+1, l))
		}
		shift += len(e.Insert) - e.Remove
	}
	return out
}

func newChange(added bool, number int, raw string) Change {
	rule, requester, _ := strings.Cut(raw, "#")
	return Change{Added: added, Line: number, Rule: strings.TrimSpace(rule), Requester: strings.TrimSpace(requester)}
}
