package events

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

var update = flag.Bool("update", false, "write docs/events.md")

const catalogueFile = "../../docs/events.md"

// definitions parses the events from the source files, so that none can be
// missing in the catalogue.
func definitions(t *testing.T) []Event {
	t.Helper()
	pkgFiles, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	var out []Event
	for _, f := range pkgFiles {
		if !strings.HasPrefix(f.Name(), "catalogue") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), f.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.CompositeLit); ok && fmt.Sprint(lit.Type) == "Event" {
				out = append(out, eventOf(t, lit))
			}
			return true
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

func eventOf(t *testing.T, lit *ast.CompositeLit) Event {
	t.Helper()
	levels := map[string]zerolog.Level{
		"DebugLevel": zerolog.DebugLevel, "InfoLevel": zerolog.InfoLevel,
		"WarnLevel": zerolog.WarnLevel, "ErrorLevel": zerolog.ErrorLevel,
	}
	str := func(i int) string {
		s, err := strconv.Unquote(lit.Elts[i].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	number, err := strconv.Atoi(lit.Elts[0].(*ast.BasicLit).Value)
	if err != nil {
		t.Fatal(err)
	}
	return Event{number, str(1), levels[lit.Elts[2].(*ast.SelectorExpr).Sel.Name], str(3), str(4)}
}

func catalogue(events []Event) string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach log line is one JSON object with the fields `time`, `instance`, `event` (the number) and `message`. ")
	b.WriteString("This page is written by `go test ./internal/events -update`.\n\n")
	b.WriteString("| event | message | level | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Text, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}

// Guards against events that are missing in the operators' catalogue, and
// against two events with the same number.
func TestCatalogue(t *testing.T) {
	events := definitions(t)
	if len(events) < 10 {
		t.Fatalf("found %d events in the source", len(events))
	}
	for i, e := range events {
		if i > 0 && events[i-1].Number == e.Number {
			t.Errorf("number %d is used for %q and %q", e.Number, events[i-1].Text, e.Text)
		}
		if e.Meaning == "" || e.Action == "" {
			t.Errorf("event %d has no meaning or action", e.Number)
		}
	}
	want := catalogue(events)
	if *update {
		if err := os.WriteFile(catalogueFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(catalogueFile)
	if err != nil || string(got) != want {
		t.Errorf("docs/events.md differs from the events in the source (%v); run: go test ./internal/events -update", err)
	}
}

// Guards against log lines without the event number, instance, message or level.
func TestLogLine(t *testing.T) {
	var b bytes.Buffer
	New(&b, zerolog.InfoLevel, "lagos-a-1").Log(Started).Str("entry", "127.0.0.1:1").Send()
	for _, want := range []string{`"event":101`, `"instance":"lagos-a-1"`, `"message":"instance started"`, `"level":"info"`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("line %q lacks %s", b.String(), want)
		}
	}
}
