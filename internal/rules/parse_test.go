package rules

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/model"
)

// declarations declares the regions and services to which the rules in tests refer.
const declarations = `region lagos lagos-a,lagos-b # network team
region abuja abuja-a # network team
service entries priority 1 # M. Eze
service results priority 3 # M. Eze
`

const exampleFile = declarations + `capacity lagos entries 16 # T. Okafor: endpoints x slots
link lagos abuja 4Gbit/s # network team
weights entries lagos=62.5% abuja=37.5% # A. Bello
shift entries max 10% per 1m # A. Bello
priority entries GET /seedings 2 # M. Eze
priority entries * /seedings/now 1 # M. Eze
minimum 3 5% # M. Eze
repeatable results POST /search # M. Eze
drain endpoint results-7 # J. Ade
drain instance lagos-a-1 # J. Ade
drain domain abuja-a # J. Ade
hold entries # A. Bello
callers 10.1.0.0/16 lagos # network team
`

// Guards against a rule that is parsed into the wrong field or unit.
func TestParseReadsEveryRule(t *testing.T) {
	s, err := Parse(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	s.index = nil
	want := &Set{
		Regions:        map[model.Region][]model.Domain{"lagos": {"lagos-a", "lagos-b"}, "abuja": {"abuja-a"}},
		Services:       map[model.Service]model.Priority{"entries": 1, "results": 3},
		Capacity:       map[RegionService]int{{"lagos", "entries"}: 16},
		Links:          map[Link]int64{{"lagos", "abuja"}: 500_000_000},
		Weights:        map[model.Service]map[model.Region]float64{"entries": {"lagos": 0.625, "abuja": 0.375}},
		Shifts:         map[model.Service]ShiftCap{"entries": {Fraction: 0.1, Period: time.Minute}},
		Priorities:     []PriorityRule{{RequestMatch{"entries", "GET", "/seedings"}, 2}, {RequestMatch{"entries", "", "/seedings/now"}, 1}},
		Repeatable:     []RequestMatch{{"results", "POST", "/search"}},
		Minimum:        map[model.Priority]float64{3: 0.05},
		DrainEndpoints: map[model.EndpointID]bool{"results-7": true},
		DrainInstances: map[model.InstanceID]bool{"lagos-a-1": true},
		DrainDomains:   map[model.Domain]bool{"abuja-a": true},
		Held:           map[model.Service]bool{"entries": true},
		Callers:        []CallerBlock{{netip.MustParsePrefix("10.1.0.0/16"), "lagos"}},
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v\nwant %+v", s, want)
	}
}

// Guards against an invalid line that is accepted, or reported without its
// number, its text and the allowed values. The lines under test start at line 5.
func TestParseRefuses(t *testing.T) {
	long := strings.Repeat("x", MaxLineBytes+1)
	for bad, problem := range map[string]string{
		"hold entries":                                               "comment is missing",
		"hold entries #  ":                                           "comment is missing",
		"hold heatsheets # A":                                        "unknown service",
		"capacity kano entries 1 # A":                                "unknown region",
		"drain domain kano-a # A":                                    "unknown domain",
		"drain region lagos # A":                                     "cannot be drained",
		"drain endpoint a/b # A":                                     "not a name",
		"capacity lagos entries -1 # A":                              "negative",
		"capacity lagos entries 1.5 # A":                             "not a whole number",
		"capacity lagos entries 0x10 # A":                            "not a whole number",
		"capacity lagos entries 1 2 # A":                             "wrong number of fields",
		"link lagos abuja 4GB/s # A":                                 "unknown unit",
		"link lagos abuja -4Gbit/s # A":                              "negative",
		"link lagos abuja 4 # A":                                     "unit is missing",
		"link lagos abuja 0.007Kbit/s # A":                           "under one byte",
		"link lagos lagos 4Gbit/s # A":                               "same region",
		"link lagos abuja 100001Gbit/s # A":                          "above",
		"weights entries lagos=50% abuja=49.9% # A":                  "sum to 99.9%",
		"weights entries lagos=101% abuja=-1% # A":                   "above 100 %",
		"weights entries lagos=50% lagos=50% # A":                    "twice",
		"weights entries lagos=100 # A":                              "unit % is missing",
		"weights entries lagos=1e2% # A":                             "not a percentage",
		"weights entries lagos=NaN% # A":                             "not a percentage",
		"shift entries max 101% per 1m # A":                          "above 100 %",
		"shift entries max -1% per 1m # A":                           "negative",
		"shift entries max 0% per 1m # A":                            "cap of 0 %",
		"shift entries max 10% per 1 # A":                            "not a duration",
		"shift entries max 10% per -1m # A":                          "out of bounds",
		"minimum 4 5% # A":                                           "not a priority",
		"minimum 3 105% # A":                                         "above 100 %",
		"priority entries post / 1 # A":                              "not a method",
		"priority entries POST /a/../b 1 # A":                        "not a path",
		"priority entries POST / +1 # A":                             "not a priority",
		"repeatable entries * / # A":                                 "all methods",
		"callers 10.1.0.1/16 lagos # A":                              "host bits",
		"callers ::ffff:10.1.0.0/112 lagos # A":                      "IPv6 form",
		"callers 10.1.0.0 lagos # A":                                 "not an address block",
		"region abuja abuja-a # A":                                   "repeats line 2",
		"region abuja abuja-c # A":                                   "contradicts line 2",
		"region kano lagos-a # A":                                    "contradicts line 1",
		"service entries priority 2 # A":                             "contradicts line 3",
		"serve entries # A":                                          "unknown rule",
		"hold entries # A\x00":                                       "control character U+0000",
		"hold entries # A\r":                                         "control character U+000D",
		"hold entries # \u202eA":                                     "control character U+202E",
		"hold entries # \xff":                                        "invalid UTF-8",
		"hold entries # " + long:                                     "too long",
		"hold entries # A\nhold entries # A":                         "repeats line 5",
		"minimum 1 60% # A\nminimum 2 40.001% # A":                   "sum to more than 100 %",
		"capacity abuja results 1 # A\ncapacity abuja results 2 # A": "contradicts line 5",
	} {
		s, err := Parse(declarations + bad)
		var list *ErrorList
		if s != nil || !errors.As(err, &list) {
			t.Errorf("%q: accepted", bad)
			continue
		}
		e := list.Errors[0]
		if want := 5 + strings.Count(bad, "\n"); e.Line != want || !strings.Contains(e.Problem, problem) || e.Read == "" || e.Allowed == "" {
			t.Errorf("%q: got %v, want line %d and %q", bad, e, want, problem)
		}
	}
}

// Guards against a file that is too large for the store, and against an error
// message that grows with the number of errors in a file.
func TestParseBounds(t *testing.T) {
	if _, err := Parse(strings.Repeat("# comment \\\n", MaxStoredBytes/14+1)); err == nil {
		t.Error("a file whose stored form exceeds the limit is accepted")
	}
	_, err := Parse(strings.Repeat("bad\n", 1000))
	var list *ErrorList
	if !errors.As(err, &list) || len(list.Errors) != MaxErrors || !list.Truncated {
		t.Errorf("1,000 errors are reported as %v", err)
	}
}

// Guards against a request that gets the wrong priority, or that counts as
// repeatable although it may run only once.
func TestClassify(t *testing.T) {
	s, err := Parse(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		service      model.Service
		method, path string
		priority     model.Priority
		repeatable   bool
	}{
		{"entries", "POST", "/", 1, false},
		{"entries", "GET", "/seedings", 2, true},
		{"entries", "GET", "/seedings/old?q=/seedings/now", 2, true},
		{"entries", "GET", "/seedings/now/x", 1, true},
		{"entries", "GET", "/seedingsx", 1, true},
		{"entries", "PUT", "/seedings", 1, false},
		{"results", "POST", "/search/deep", 3, true},
		{"results", "POST", "/searches", 3, false},
		{"results", "PUT", "/search", 3, false},
		{"unknown", "GET", "/", 0, false},
	} {
		p, r := s.Classify(c.service, c.method, c.path)
		if p != c.priority || r != c.repeatable {
			t.Errorf("%v: got %v %v", c, p, r)
		}
	}
	if !s.RegionDrained("abuja") || s.RegionDrained("lagos") || s.RegionDrained("kano") {
		t.Error("wrong result of RegionDrained: a region is drained only if all its failure domains are")
	}
}

// drawSet generates a Set that a rules file can express.
func drawSet(t *rapid.T) *Set {
	s := newSet()
	for i := range rapid.IntRange(1, 4).Draw(t, "regions") {
		r := model.Region(fmt.Sprintf("r%d", i))
		s.Regions[r] = []model.Domain{model.Domain(r + "-a"), model.Domain(r + "-b")}
		if rapid.Bool().Draw(t, "drained") {
			s.DrainDomains[model.Domain(r+"-b")] = true
		}
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		v := model.Service(fmt.Sprintf("s%d", i))
		s.Services[v] = model.Priority(rapid.IntRange(1, 3).Draw(t, "priority"))
		s.Shifts[v] = ShiftCap{
			Fraction: float64(rapid.IntRange(1, fractionUnits).Draw(t, "cap")) / fractionUnits,
			Period:   time.Duration(rapid.Int64Range(int64(minShiftPeriod), int64(maxShiftPeriod)).Draw(t, "period")),
		}
		first := rapid.IntRange(0, fractionUnits).Draw(t, "weight")
		s.Weights[v] = map[model.Region]float64{"r0": float64(first) / fractionUnits}
		if len(s.Regions) > 1 {
			s.Weights[v]["r1"] = float64(fractionUnits-first) / fractionUnits
		} else {
			s.Weights[v]["r0"] = 1
		}
		s.Priorities = append(s.Priorities, PriorityRule{RequestMatch{v, "", "/a"}, 2})
		s.Repeatable = append(s.Repeatable, RequestMatch{v, "POST", rapid.StringMatching(`/[a-z]{1,5}(/[a-z]{1,5})?`).Draw(t, "path")})
		s.Capacity[RegionService{"r0", v}] = rapid.IntRange(0, maxSlots).Draw(t, "slots")
	}
	if len(s.Regions) > 1 {
		s.Links[Link{"r0", "r1"}] = rapid.Int64Range(1, maxLinkBits/8).Draw(t, "rate")
	}
	s.Minimum[3] = float64(rapid.IntRange(0, fractionUnits).Draw(t, "minimum")) / fractionUnits
	bits := rapid.IntRange(0, 32).Draw(t, "bits")
	address := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")))
	s.Callers = append(s.Callers, CallerBlock{netip.PrefixFrom(address, bits).Masked(), "r0"})
	return s
}

// Guards against values that change when a file is formatted and parsed.
func TestFormatAndParseAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawSet(t)
		text := Format(want, "network team")
		got, err := Parse(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		got.index = nil
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v\nwant %+v\n%s", got, want, text)
		}
	})
}

// Guards against a panic in the parser, an error that is not an ErrorList or has
// no entries, and a file that parses differently after formatting.
func FuzzParse(f *testing.F) {
	f.Add(exampleFile)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		var list *ErrorList
		if err != nil {
			if s != nil || !errors.As(err, &list) || len(list.Errors) == 0 || len(list.Errors) > MaxErrors {
				t.Fatalf("rejected with %#v and set %v", err, s)
			}
			return
		}
		again, err := Parse(Format(s, "fuzz"))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(s, again) {
			t.Fatalf("got %+v\nwant %+v", again, s)
		}
	})
}
