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

// field describes one setting: what is allowed and how it is stored.
type field struct {
	allowed  string
	required bool
	// set stores the value and reports false if it is not allowed.
	set func(*Settings, *hujson.Value) bool
}

var sections = map[string]bool{
	"listen": true, "platform": true, "requests": true, "shutdown": true, "log": true, "trace": true,
}

// fields holds every setting by its path.
var fields = map[string]field{
	"instance":                 name(func(s *Settings) *model.InstanceID { return &s.Instance }),
	"region":                   name(func(s *Settings) *model.Region { return &s.Region }),
	"domain":                   name(func(s *Settings) *model.Domain { return &s.Domain }),
	"listen.entry":             address(func(s *Settings) *netip.AddrPort { return &s.Listen.Entry }),
	"listen.peer":              address(func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	"listen.control":           address(func(s *Settings) *netip.AddrPort { return &s.Listen.Control }),
	"store":                    baseURL(func(s *Settings) *string { return &s.Store }),
	"platform.url":             baseURL(func(s *Settings) *string { return &s.Platform.URL }),
	"platform.poll":            span(100*time.Millisecond, 30*time.Second, func(s *Settings) *Duration { return &s.Platform.Poll }),
	"requests.default_timeout": span(10*time.Millisecond, 9*time.Second, func(s *Settings) *Duration { return &s.Requests.DefaultTimeout }),
	"requests.max_timeout":     span(10*time.Millisecond, 9*time.Second, func(s *Settings) *Duration { return &s.Requests.MaxTimeout }),
	"requests.max_body_bytes":  integer(1<<10, 1<<20, func(s *Settings) *int { return &s.Requests.MaxBodyBytes }),
	"requests.max_in_flight":   integer(1, 100000, func(s *Settings) *int { return &s.Requests.MaxInFlight }),
	"shutdown.announce":        span(0, 5*time.Minute, func(s *Settings) *Duration { return &s.Shutdown.Announce }),
	"shutdown.grace":           span(10*time.Millisecond, 5*time.Minute, func(s *Settings) *Duration { return &s.Shutdown.Grace }),
	"log.level":                oneOf([]string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
	"trace.file":               path(func(s *Settings) *string { return &s.Trace.File }),
	"trace.sample":             fraction(func(s *Settings) *float64 { return &s.Trace.Sample }),
	"distances":                names(func(s *Settings) *[]model.Region { return &s.Distances }),
}

// fieldOrder lists the paths in a fixed order, for messages.
var fieldOrder = sortedKeys()

func sortedKeys() []string {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// keysUnder lists the settings in the same section as key.
func keysUnder(key string) []string {
	section := key[:strings.LastIndex(key, ".")+1]
	var out []string
	for _, k := range fieldOrder {
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

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// text returns a string literal's value.
func text(v *hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return "", false
	}
	return l.String(), true
}

// number returns a number literal's text.
func number(v *hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		return "", false
	}
	return string(l), true
}

func name[T ~string](at func(*Settings) *T) field {
	return field{
		allowed:  "a name of a-z, 0-9 and '-', at most 63 characters",
		required: true,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := text(v)
			*at(s) = T(t)
			return ok && nameForm.MatchString(t)
		},
	}
}

func names[T ~string](at func(*Settings) *[]T) field {
	return field{
		allowed: "a list of names of a-z, 0-9 and '-', each once",
		set: func(s *Settings, v *hujson.Value) bool {
			arr, ok := v.Value.(*hujson.Array)
			if !ok {
				return false
			}
			seen := make(map[string]bool)
			for i := range arr.Elements {
				t, ok := text(&arr.Elements[i])
				if !ok || !nameForm.MatchString(t) || seen[t] {
					return false
				}
				seen[t] = true
				*at(s) = append(*at(s), T(t))
			}
			return true
		},
	}
}

func address(at func(*Settings) *netip.AddrPort) field {
	return field{
		allowed:  "an IP address with a port, for example 10.0.0.7:8080",
		required: true,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := text(v)
			a, err := netip.ParseAddrPort(t)
			*at(s) = a
			return ok && err == nil && !a.Addr().IsUnspecified()
		},
	}
}

func baseURL(at func(*Settings) *string) field {
	return field{
		allowed:  "http://IP:PORT",
		required: true,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := text(v)
			u, err := url.Parse(t)
			if !ok || err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
				return false
			}
			*at(s) = t
			_, err = netip.ParseAddrPort(u.Host)
			return err == nil
		},
	}
}

func span(least, most time.Duration, at func(*Settings) *Duration) field {
	return field{
		allowed: "a time span from " + least.String() + " to " + most.String() + ", for example \"2s\"",
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := text(v)
			d, err := time.ParseDuration(t)
			*at(s) = Duration(d)
			return ok && err == nil && d >= least && d <= most
		},
	}
}

func integer(least, most int, at func(*Settings) *int) field {
	return field{
		allowed: "a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most),
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := number(v)
			n, err := strconv.Atoi(t)
			*at(s) = n
			return ok && err == nil && n >= least && n <= most
		},
	}
}

func fraction(at func(*Settings) *float64) field {
	return field{
		allowed: "a number from 0 to 1",
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := number(v)
			f, err := strconv.ParseFloat(t, 64)
			*at(s) = f
			return ok && err == nil && f >= 0 && f <= 1
		},
	}
}

func oneOf(words []string, at func(*Settings) *string) field {
	return field{
		allowed: "one of " + strings.Join(words, ", "),
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := text(v)
			*at(s) = t
			for _, w := range words {
				if t == w {
					return ok
				}
			}
			return false
		},
	}
}

func path(at func(*Settings) *string) field {
	return field{
		allowed: `a file path, "-" or ""`,
		set: func(s *Settings, v *hujson.Value) bool {
			t, ok := text(v)
			*at(s) = t
			return ok && !strings.ContainsAny(t, "\x00\n")
		},
	}
}

// String returns the span as time.Duration does.
func (d Duration) String() string {
	return time.Duration(d).String()
}
