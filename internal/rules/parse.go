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
	// EnvelopeBytes is the part of a value in the store that is reserved for the
	// metadata of the file: revision, edit ID, author, time and lineage.
	EnvelopeBytes = 4 << 10
	// MaxStoredBytes limits StoredBytes of a file, so that the file and its
	// metadata fit one value of the store.
	MaxStoredBytes = store.MaxValueBytes - EnvelopeBytes
	// MaxLineBytes limits one line of a file, without its newline.
	MaxLineBytes = 1 << 10
)

// StoredBytes returns the size of the text as a JSON string in the store, where
// newlines, tabs, quotes and backslashes take two bytes.
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

// line is a line of the file with a rule. text and fields are without the
// comment.
type line struct {
	number int
	text   string
	fields []string
}

// definition is the value of a key and the line that defines it.
type definition struct {
	line  int
	value string
}

type parser struct {
	set         *Set
	errs        ErrorList
	definitions map[string]definition
	domains     map[model.Domain]bool
	// minimumSum is the sum of the minimum shares in fractionUnits.
	minimumSum int64
}

// Parse parses a rules file. The error is an *ErrorList with up to MaxErrors
// errors, and then the Set is nil.
func Parse(text string) (*Set, error) {
	p := &parser{set: newSet(), definitions: map[string]definition{}, domains: map[model.Domain]bool{}}
	lines := p.split(text)
	p.readRules(lines, true)
	p.readRules(lines, false)
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

// split returns the lines that have a rule and reports malformed lines.
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
		if p.errs.isTruncated() {
			return lines
		}
		if l, ok := p.splitLine(number, raw); ok {
			lines = append(lines, l)
		}
	}
	return lines
}

// splitLine separates the rule from its comment. It returns false for blank
// lines, lines with only a comment, and malformed lines.
func (p *parser) splitLine(number int, raw string) (line, bool) {
	if problem := lineProblem(raw); problem != "" {
		p.errs.add(number, raw, problem, fmt.Sprintf("up to %d bytes of UTF-8 without control characters", MaxLineBytes))
		return line{}, false
	}
	rule, requester, _ := strings.Cut(raw, "#")
	fields := strings.Fields(rule)
	if len(fields) == 0 {
		return line{}, false
	}
	if strings.TrimSpace(requester) == "" {
		p.errs.add(number, raw, "the comment is missing", "a rule followed by # and who asked for it")
		return line{}, false
	}
	return line{number: number, text: strings.TrimSpace(rule), fields: fields}, true
}

// lineProblem returns what is malformed in a line, or "".
func lineProblem(raw string) string {
	if len(raw) > MaxLineBytes {
		return "the line is too long"
	}
	if !utf8.ValidString(raw) {
		return "invalid UTF-8"
	}
	if i := strings.IndexFunc(raw, isForbidden); i >= 0 {
		r, _ := utf8.DecodeRuneInString(raw[i:])
		return fmt.Sprintf("control character %U", r)
	}
	return ""
}

// isForbidden reports whether r is a control character other than the tab, a line
// separator, or a character that changes the text direction. The latter can make
// a rule look like a different one.
func isForbidden(r rune) bool {
	if r < utf8.RuneSelf {
		return r < ' ' && r != '\t' || r == 0x7f
	}
	return unicode.IsControl(r) || unicode.In(r, unicode.Zl, unicode.Zp, unicode.Bidi_Control)
}

// readRules parses either the declarations or all other rules. Because it is
// called for the declarations first, these may follow their use in the file.
func (p *parser) readRules(lines []line, declarations bool) {
	for _, l := range lines {
		if p.errs.isTruncated() {
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

// define records that a line defines a key. If another line has defined it
// already, define reports an error and returns false: the line repeats the other
// one if the values are equal, and contradicts it otherwise.
func (p *parser) define(l line, key, value string) bool {
	previous, defined := p.definitions[key]
	if !defined {
		p.definitions[key] = definition{line: l.number, value: value}
		return true
	}
	verb := "contradicts"
	if previous.value == value {
		verb = "repeats"
	}
	p.fail(l, l.text, fmt.Sprintf("%s line %d", verb, previous.line), "one line for "+key)
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
	// The comparison rejects other spellings, such as +1 and 01.
	if err != nil || v.String() != s {
		p.fail(l, s, "not a priority", allowedPriority)
		return 0, false
	}
	return v, true
}
