package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 256 << 10

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int
	// Key is the path of the setting, for example "requests.max_timeout".
	Key string
	// Read is the value in the file. Allowed describes the valid values.
	Read    string
	Allowed string
}

func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: read %s, allowed: %s", p.File, p.Line, p.Key, p.Read, p.Allowed)
}

// Problems holds all errors in a settings file: first those of single settings in
// the order of the file, then missing settings, then conflicts between settings.
// It is never empty when returned as an error.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. Errors in its content are returned as
// Problems.
func Load(file string) (Settings, error) {
	info, err := os.Stat(file)
	if err != nil {
		return Settings{}, errors.Trace(err)
	}
	if info.Size() > maxFileBytes {
		return Settings{}, Problems{{File: file, Line: 1, Key: "file", Read: fmt.Sprintf("%d bytes", info.Size()), Allowed: fmt.Sprintf("at most %d bytes", maxFileBytes)}}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Trace(err)
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file. The file name is used
// in messages only.
func Parse(file string, text []byte) (Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return Settings{}, Problems{{File: file, Line: errorLine(err), Key: "file", Read: err.Error(), Allowed: "JSON with comments"}}
	}
	p := parser{file: file, text: text, out: Defaults(), seen: make(map[string]int)}
	p.section("", &root)
	p.checkRequired()
	p.checkConsistency()
	if len(p.problems) > 0 {
		return Settings{}, p.problems
	}
	return p.out, nil
}

// errorLine returns the line number from a syntax error of hujson
// ("hujson: line 3, ..."), or 1 if there is none.
func errorLine(err error) int {
	line := 1
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		_, _ = fmt.Sscanf(err.Error()[i:], "line %d", &line)
	}
	return line
}

type parser struct {
	file string
	text []byte
	out  Settings
	// seen maps the keys of the file to their lines.
	seen     map[string]int
	problems Problems
}

// line returns the line number of an offset in the text.
func (p *parser) line(offset int) int {
	return 1 + bytes.Count(p.text[:min(offset, len(p.text))], []byte{'\n'})
}

func (p *parser) addProblem(line int, key, read, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Read: read, Allowed: allowed})
}

// section parses an object whose settings have the given path prefix.
func (p *parser) section(prefix string, v *hujson.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(p.line(v.StartOffset), strings.TrimSuffix("file."+prefix, "."), excerpt(v), "an object")
		return
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		name, _ := m.Name.Value.(hujson.Literal)
		p.member(prefix+name.String(), m)
	}
}

// member parses one member of an object: a section or a setting.
func (p *parser) member(key string, m *hujson.ObjectMember) {
	line := p.line(m.Name.StartOffset)
	if first, ok := p.seen[key]; ok {
		p.addProblem(line, key, "the key a second time", fmt.Sprintf("once (first on line %d)", first))
		return
	}
	p.seen[key] = line
	if sections[key] {
		p.section(key+".", &m.Value)
		return
	}
	f, ok := fields[key]
	if !ok {
		p.addProblem(line, key, "an unknown key", "one of "+strings.Join(keysUnder(key), ", "))
		return
	}
	if !f.set(&p.out, &m.Value) {
		p.addProblem(p.line(m.Value.StartOffset), key, excerpt(&m.Value), f.allowed)
	}
}

func (p *parser) checkRequired() {
	for _, key := range fieldPaths {
		if _, ok := p.seen[key]; fields[key].required && !ok {
			p.addProblem(1, key, "nothing", fields[key].allowed+" (required)")
		}
	}
}

// checkConsistency checks constraints between settings.
func (p *parser) checkConsistency() {
	r := p.out.Requests
	if r.DefaultTimeout > r.MaxTimeout {
		p.addProblem(p.seen["requests.default_timeout"], "requests.default_timeout", r.DefaultTimeout.String(), "at most requests.max_timeout ("+r.MaxTimeout.String()+")")
	}
	if g := p.out.Shutdown.Grace; g < r.MaxTimeout {
		p.addProblem(p.seen["shutdown.grace"], "shutdown.grace", g.String(), "at least requests.max_timeout ("+r.MaxTimeout.String()+")")
	}
}

// excerpt returns the text of a value on one line, truncated for messages.
func excerpt(v *hujson.Value) string {
	const maxLen = 60
	s := strings.Join(strings.Fields(v.String()), " ")
	if len(s) > maxLen {
		s = s[:maxLen] + "..."
	}
	return s
}
