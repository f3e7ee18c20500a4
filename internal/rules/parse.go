package rules

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

const (
	// EnvelopeBytes is reserved in the store's value for revision, edit id,
	// author and time.
	EnvelopeBytes = 4 << 10
	// MaxStoredBytes bounds StoredBytes of a file, so that the file and its
	// envelope fit one value of the store.
	MaxStoredBytes = store.MaxValueBytes - EnvelopeBytes
	// MaxLineBytes bounds one line of a file without its newline.
	MaxLineBytes = 1 << 10
)

// StoredBytes is the size of the text as a JSON string in the store: newlines,
// tabs, quotes and backslashes take two bytes.
func StoredBytes(text string) int {
	n := len(text)
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\n', '\t', '"', '\\':
			n++
		}
	}
	return n
}

// line is one rule of the file.
type line struct {
	number int
	text   string
	fields []string
}

// claimed remembers which line set a key to which value.
type claimed struct {
	line  int
	value string
}

type parser struct {
	set     *Set
	errs    ErrorList
	claims  map[string]claimed
	domains map[model.Domain]bool
	// minimums is the sum of the minimum shares in fractionUnits.
	minimums int64
}

// Parse reads a rules file. The error is an *ErrorList with up to MaxErrors
// faults; nothing of a faulty file is returned.
func Parse(text string) (*Set, error) {
	p := &parser{set: newSet(), claims: map[string]claimed{}, domains: map[model.Domain]bool{}}
	lines := p.split(text)
	p.read(lines, true)
	p.read(lines, false)
	if len(p.errs.Errors) > 0 {
		slices.SortStableFunc(p.errs.Errors, func(a, b LineError) int { return a.Line - b.Line })
		return nil, &p.errs
	}
	p.set.index = newIndex(p.set)
	return p.set, nil
}

func newSet() *Set {
	return &Set{
		Regions:        map[model.Region][]model.Domain{},
		Services:       map[model.Service]model.Priority{},
		Capacity:       map[RegionService]int{},
		Links:          map[Link]int64{},
		Weights:        map[model.Service]map[model.Region]float64{},
		Shifts:         map[model.Service]ShiftCap{},
		Minimum:        map[model.Priority]float64{},
		DrainEndpoints: map[model.EndpointID]bool{},
		DrainInstances: map[model.InstanceID]bool{},
		DrainDomains:   map[model.Domain]bool{},
		Held:           map[model.Service]bool{},
	}
}

// split returns the lines that hold rules and reports faults of form.
func (p *parser) split(text string) []line {
	if n := StoredBytes(text); n > MaxStoredBytes {
		p.errs.add(0, fmt.Sprintf("%d bytes", n), "the file is too large",
			fmt.Sprintf("up to %d bytes, where newlines, tabs, quotes and backslashes count twice", MaxStoredBytes))
		return nil
	}
	var lines []line
	number := 0
	for raw := range strings.SplitSeq(text, "\n") {
		number++
		if p.errs.full() {
			return lines
		}
		if l, ok := p.splitLine(number, raw); ok {
			lines = append(lines, l)
		}
	}
	return lines
}

// splitLine returns false for blank lines, lines with only a comment, and
// faulty lines.
func (p *parser) splitLine(number int, raw string) (line, bool) {
	if problem := badForm(raw); problem != "" {
		p.errs.add(number, raw, problem, fmt.Sprintf("up to %d bytes of UTF-8 without control characters", MaxLineBytes))
		return line{}, false
	}
	rule, asker, _ := strings.Cut(raw, "#")
	fields := strings.Fields(rule)
	if len(fields) == 0 {
		return line{}, false
	}
	if strings.TrimSpace(asker) == "" {
		p.errs.add(number, raw, "the comment is missing", "a rule followed by # and who asked for it")
		return line{}, false
	}
	return line{number: number, text: strings.TrimSpace(rule), fields: fields}, true
}

func badForm(raw string) string {
	if len(raw) > MaxLineBytes {
		return "the line is too long"
	}
	if !utf8.ValidString(raw) {
		return "invalid UTF-8"
	}
	if i := strings.IndexFunc(raw, forbidden); i >= 0 {
		r, _ := utf8.DecodeRuneInString(raw[i:])
		return fmt.Sprintf("control character %U", r)
	}
	return ""
}

// forbidden selects control characters except the tab, line separators, and
// characters that change the direction of text, which can make a rule look
// like another.
func forbidden(r rune) bool {
	if r < utf8.RuneSelf {
		return r < ' ' && r != '\t' || r == 0x7f
	}
	return unicode.IsControl(r) || unicode.In(r, unicode.Zl, unicode.Zp, unicode.Bidi_Control)
}

// read takes either the declarations or all other rules, so that declarations
// may follow their use.
func (p *parser) read(lines []line, declarations bool) {
	for _, l := range lines {
		if p.errs.full() {
			return
		}
		d, known := directives[l.fields[0]]
		if !known {
			if declarations {
				p.fail(l, l.fields[0], "unknown rule", directiveNames)
			}
			continue
		}
		if d.declares != declarations {
			continue
		}
		if n := len(l.fields) - 1; n < d.minFields || n > d.maxFields {
			p.fail(l, l.text, "wrong number of fields", d.usage)
			continue
		}
		d.parse(p, l, l.fields[1:])
	}
}

func (p *parser) fail(l line, read, problem, allowed string) {
	p.errs.add(l.number, read, problem, allowed)
}

// claim reports false if an earlier line has the same key. With the same
// value it is a duplicate, otherwise a contradiction.
func (p *parser) claim(l line, key, value string) bool {
	before, taken := p.claims[key]
	if !taken {
		p.claims[key] = claimed{line: l.number, value: value}
		return true
	}
	verb := "contradicts"
	if before.value == value {
		verb = "repeats"
	}
	p.fail(l, l.text, fmt.Sprintf("%s line %d", verb, before.line), "one line for "+key)
	return false
}

func (p *parser) region(l line, s string) (model.Region, bool) {
	r := model.Region(s)
	if _, ok := p.set.Regions[r]; ok {
		return r, true
	}
	p.fail(l, s, "unknown region", "a region declared by a region line")
	return "", false
}

func (p *parser) service(l line, s string) (model.Service, bool) {
	v := model.Service(s)
	if _, ok := p.set.Services[v]; ok {
		return v, true
	}
	p.fail(l, s, "unknown service", "a service declared by a service line")
	return "", false
}

func (p *parser) priority(l line, s string) (model.Priority, bool) {
	v, err := model.ParsePriority(s)
	// The comparison refuses other spellings, such as +1 and 01.
	if err != nil || v.String() != s {
		p.fail(l, s, "not a priority", allowedPriority)
		return 0, false
	}
	return v, true
}
