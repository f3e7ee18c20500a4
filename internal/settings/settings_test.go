package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
)

const exampleFile = "../../jujubestiled.example.json"

func exampleText(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against an example file that does not load or lacks a setting.
func TestExampleHasEverySetting(t *testing.T) {
	s, err := Load(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance != "lagos-a-1" || s.Requests.MaxInFlight != 2000 || len(s.Distances) != 2 {
		t.Errorf("loaded %+v", s)
	}
	text := exampleText(t)
	for _, key := range fieldPaths {
		last := key[strings.LastIndex(key, ".")+1:]
		if !strings.Contains(text, `"`+last+`":`) {
			t.Errorf("the example lacks %q", key)
		}
	}
}

// Guards against settings that are silently ignored or read in the wrong unit.
// Each error must give the line, the key, the value read and the allowed values.
func TestRefusesBadSettings(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", `"default_timeout"`, `"defualt_timeout"`, "requests.defualt_timeout: read an unknown key, allowed: one of default_timeout"},
		{"wrong type", `"max_body_bytes": 1048576`, `"max_body_bytes": "1MB"`, `requests.max_body_bytes: read "1MB", allowed: a whole number`},
		{"bad unit", `"poll": "1s"`, `"poll": "1 second"`, `platform.poll: read "1 second", allowed: a duration`},
		{"number for a duration", `"poll": "1s"`, `"poll": 1`, `platform.poll: read 1, allowed: a duration`},
		{"host name", `"entry": "127.0.0.1:8080"`, `"entry": "localhost:8080"`, `listen.entry: read "localhost:8080", allowed: an IP address`},
		{"out of range", `"sample": 0.01`, `"sample": 1.5`, "trace.sample: read 1.5, allowed: a number from 0 to 1"},
		{"missing", `"region": "lagos",`, ``, "region: read nothing"},
		{"twice", `"region": "lagos",`, `"region": "lagos", "region": "abuja",`, "region: read the key a second time"},
		{"timeouts together", `"default_timeout": "2s"`, `"default_timeout": "9s"`, "requests.default_timeout: read 9s, allowed: at most requests.max_timeout (8s)"},
		{"grace too short", `"grace": "15s"`, `"grace": "5s"`, "shutdown.grace: read 5s, allowed: at least requests.max_timeout"},
		{"section of the wrong type", `"log": {"level": "info"}`, `"log": "info"`, `allowed: an object`},
		{"syntax", `"poll": "1s"`, `"poll" "1s"`, "allowed: JSON with comments"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(exampleText(t), c.from, c.to, 1)
			line := 1 + strings.Count(text[:max(strings.Index(text, c.to), 0)], "\n")
			_, err := Parse("f.json", []byte(text))
			var ps Problems
			if !errors.As(err, &ps) {
				t.Fatalf("got %v, want Problems", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want it to contain %q", err, c.want)
			}
			if c.to != "" && ps[0].Line != line {
				t.Errorf("line %d, want %d", ps[0].Line, line)
			}
		})
	}
}

// Guards against a parser that panics, or accepts a default timeout above the
// maximum.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"listen": [1, {"entry": null}]}`))
	f.Add([]byte(`// c` + "\n" + `{"requests": {"max_timeout": "1h"}, }`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err == nil && s.Requests.DefaultTimeout > s.Requests.MaxTimeout {
			t.Errorf("accepted a default timeout of %s over a maximum of %s", s.Requests.DefaultTimeout, s.Requests.MaxTimeout)
		}
	})
}
