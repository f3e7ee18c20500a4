package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 256 << 10

// Problem is one fault of a settings file.
type Problem struct {
	File string
	Line int
	// Key is the path of the setting, for example "requests.max_timeout".
	Key string
	// Read is what the file says; Allowed is what would be right.
	Read    string
	Allowed string
}

func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: read %s, allowed: %s", p.File, p.Line, p.Key, p.Read, p.Allowed)
}

// Problems are all faults of a settings file, in the order of their lines. It
// is never empty as an error.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file. Faults in its content are Problems.
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

// Parse checks the text of a settings file; file is its name in messages.
func Parse(file string, text []byte) (Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return Settings{}, Problems{{File: file, Line: errorLine(err), Key: "file", Read: err.Error(), Allowed: "JSON with comments"}}
	}
	p := parser{file: file, text: text, out: Defaults(), seen: make(map[string]int)}
	p.section("", &root)
	p.checkRequired()
	p.checkTogether()
	if len(p.problems) > 0 {
		return Settings{}, p.problems
	}
	return p.out, nil
}

// errorLine finds the line in a syntax error of hujson ("hujson: line 3, ...").
func errorLine(err error) int {
	line := 1
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		_, _ = fmt.Sscanf(err.Error()[i:], "line %d", &line)
	}
	return line
}

type parser struct {
	file     string
	text     []byte
	out      Settings
	seen     map[string]int
	problems Problems
}

func (p *parser) line(offset int) int {
	return 1 + bytes.Count(p.text[:min(offset, len(p.text))], []byte{'\n'})
}

func (p *parser) fail(line int, key, read, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Read: read, Allowed: allowed})
}

// section reads an object whose keys have the prefix.
func (p *parser) section(prefix string, v *hujson.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fail(p.line(v.StartOffset), strings.TrimSuffix("file."+prefix, "."), short(v), "an object")
		return
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		name, _ := m.Name.Value.(hujson.Literal)
		p.member(prefix+name.String(), m)
	}
}

func (p *parser) member(key string, m *hujson.ObjectMember) {
	line := p.line(m.Name.StartOffset)
	if first, ok := p.seen[key]; ok {
		p.fail(line, key, "the key a second time", fmt.Sprintf("once (first on line %d)", first))
		return
	}
	p.seen[key] = line
	if sections[key] {
		p.section(key+".", &m.Value)
		return
	}
	f, ok := fields[key]
	if !ok {
		p.fail(line, key, "an unknown key", "one of "+strings.Join(keysUnder(key), ", "))
		return
	}
	if !f.set(&p.out, &m.Value) {
		p.fail(p.line(m.Value.StartOffset), key, short(&m.Value), f.allowed)
	}
}

func (p *parser) checkRequired() {
	for _, key := range fieldOrder {
		if _, ok := p.seen[key]; fields[key].required && !ok {
			p.fail(1, key, "nothing", fields[key].allowed+" (required)")
		}
	}
}

// checkTogether checks the rules between several settings.
func (p *parser) checkTogether() {
	r := p.out.Requests
	if r.DefaultTimeout > r.MaxTimeout {
		p.fail(p.seen["requests.default_timeout"], "requests.default_timeout", r.DefaultTimeout.String(), "at most requests.max_timeout ("+r.MaxTimeout.String()+")")
	}
	if g := p.out.Shutdown.Grace; g < r.MaxTimeout {
		p.fail(p.seen["shutdown.grace"], "shutdown.grace", g.String(), "at least requests.max_timeout ("+r.MaxTimeout.String()+")")
	}
}

// short returns the value as the file has it, cut to one short line.
func short(v *hujson.Value) string {
	const most = 60
	s := strings.Join(strings.Fields(v.String()), " ")
	if len(s) > most {
		s = s[:most] + "..."
	}
	return s
}
