package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"jujubestile.example/jujubestile/internal/model"
)

// field describes one setting.
type field struct {
	// allowed describes the valid values, for messages.
	allowed  string
	required bool
	// set stores the value. It returns false if the value is not allowed.
	set func(*Settings, *hujson.Value) bool
}

// sections holds the paths of the objects that group settings.
var sections = map[string]bool{
	"listen": true, "platform": true, "requests": true, "shutdown": true, "log": true, "trace": true,
}

// fields holds all settings by path.
var fields = map[string]field{
	"instance":                 nameField(func(s *Settings) *model.InstanceID { return &s.Instance }),
	"region":                   nameField(func(s *Settings) *model.Region { return &s.Region }),
	"domain":                   nameField(func(s *Settings) *model.Domain { return &s.Domain }),
	"listen.entry":             addressField(func(s *Settings) *netip.AddrPort { return &s.Listen.Entry }),
	"listen.peer":              addressField(func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	"listen.control":           addressField(func(s *Settings) *netip.AddrPort { return &s.Listen.Control }),
	"store":                    baseURLField(func(s *Settings) *string { return &s.Store }),
	"platform.url":             baseURLField(func(s *Settings) *string { return &s.Platform.URL }),
	"platform.poll":            durationField(100*time.Millisecond, 30*time.Second, func(s *Settings) *Duration { return &s.Platform.Poll }),
	"requests.default_timeout": durationField(10*time.Millisecond, 9*time.Second, func(s *Settings) *Duration { return &s.Requests.DefaultTimeout }),
	"requests.max_timeout":     durationField(10*time.Millisecond, 9*time.Second, func(s *Settings) *Duration { return &s.Requests.MaxTimeout }),
	"requests.max_body_bytes":  intField(1<<10, 1<<20, func(s *Settings) *int { return &s.Requests.MaxBodyBytes }),
	"requests.max_in_flight":   intField(1, 100000, func(s *Settings) *int { return &s.Requests.MaxInFlight }),
	"shutdown.announce":        durationField(0, 5*time.Minute, func(s *Settings) *Duration { return &s.Shutdown.Announce }),
	"shutdown.grace":           durationField(10*time.Millisecond, 5*time.Minute, func(s *Settings) *Duration { return &s.Shutdown.Grace }),
	"log.level":                enumField([]string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
	"trace.file":               pathField(func(s *Settings) *string { return &s.Trace.File }),
	"trace.sample":             fractionField(func(s *Settings) *float64 { return &s.Trace.Sample }),
	"memory_mb":                intField(64, 1<<20, func(s *Settings) *int { return &s.MemoryMB }),
	"distances":                nameListField(func(s *Settings) *[]model.Region { return &s.Distances }),
}

// fieldPaths lists the paths of all settings in sorted order, for messages.
var fieldPaths = sortedFieldPaths()

func sortedFieldPaths() []string {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// keysUnder lists the settings in the same section as key. At the top level it
// also lists the sections.
func keysUnder(key string) []string {
	section := key[:strings.LastIndex(key, ".")+1]
	var out []string
	for _, k := range fieldPaths {
		if rest, ok := strings.CutPrefix(k, section); ok && (section != "" || !strings.Contains(rest, ".")) {
			out = append(out, rest)
		}
	}
	if section == "" {
		for s := range sections {
			out = append(out, s)
		}
		sort.Strings(out)
	}
	return out
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// stringLiteral returns the value of a string literal, or false for any other
// value.
func stringLiteral(v *hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return "", false
	}
	return l.String(), true
}

// numberLiteral returns the text of a number literal, or false for any other
// value.
func numberLiteral(v *hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		return "", false
	}
	return string(l), true
}

func nameField[T ~string](target func(*Settings) *T) field {
	return field{
		allowed:  "a name of a-z, 0-9 and '-', at most 63 characters",
		required: true,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := stringLiteral(v)
			*target(s) = T(t)
			return ok && namePattern.MatchString(t)
		},
	}
}

func nameListField[T ~string](target func(*Settings) *[]T) field {
	return field{
		allowed: "a list of names of a-z, 0-9 and '-', each once",
		set: func(s *Settings, v *hujson.Value) bool {
			arr, ok := v.Value.(*hujson.Array)
			if !ok {
				return false
			}
			seen := make(map[string]bool)
			for i := range arr.Elements {
				t, ok := stringLiteral(&arr.Elements[i])
				if !ok || !namePattern.MatchString(t) || seen[t] {
					return false
				}
				seen[t] = true
				*target(s) = append(*target(s), T(t))
			}
			return true
		},
	}
}

func addressField(target func(*Settings) *netip.AddrPort) field {
	return field{
		allowed:  "an IP address with a port, for example 10.0.0.7:8080",
		required: true,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := stringLiteral(v)
			a, err := netip.ParseAddrPort(t)
			*target(s) = a
			return ok && err == nil && !a.Addr().IsUnspecified()
		},
	}
}

func baseURLField(target func(*Settings) *string) field {
	return field{
		allowed:  "http://IP:PORT",
		required: true,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := stringLiteral(v)
			u, err := url.Parse(t)
			if !ok || err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
				return false
			}
			*target(s) = t
			_, err = netip.ParseAddrPort(u.Host)
			return err == nil
		},
	}
}

func durationField(minimum, maximum time.Duration, target func(*Settings) *Duration) field {
	return field{
		allowed: "a duration from " + minimum.String() + " to " + maximum.String() + ", for example \"2s\"",
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := stringLiteral(v)
			d, err := time.ParseDuration(t)
			*target(s) = Duration(d)
			return ok && err == nil && d >= minimum && d <= maximum
		},
	}
}

func intField(minimum, maximum int, target func(*Settings) *int) field {
	return field{
		allowed: "a whole number from " + strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum),
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := numberLiteral(v)
			n, err := strconv.Atoi(t)
			*target(s) = n
			return ok && err == nil && n >= minimum && n <= maximum
		},
	}
}

func fractionField(target func(*Settings) *float64) field {
	return field{
		allowed: "a number from 0 to 1",
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := numberLiteral(v)
			f, err := strconv.ParseFloat(t, 64)
			*target(s) = f
			return ok && err == nil && f >= 0 && f <= 1
		},
	}
}

func enumField(values []string, target func(*Settings) *string) field {
	return field{
		allowed: "one of " + strings.Join(values, ", "),
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := stringLiteral(v)
			*target(s) = t
			for _, value := range values {
				if t == value {
					return ok
				}
			}
			return false
		},
	}
}

func pathField(target func(*Settings) *string) field {
	return field{
		allowed: `a file path, "-" or ""`,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := stringLiteral(v)
			*target(s) = t
			return ok && !strings.ContainsAny(t, "\x00\n")
		},
	}
}

// String formats the duration as time.Duration does.
func (d Duration) String() string {
	return time.Duration(d).String()
}
