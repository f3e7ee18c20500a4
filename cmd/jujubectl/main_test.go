package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const valid = "region lagos lagos-a # network team\n"

// fakeControl is a control server with fixed responses by method and path. It
// records the edits that it receives.
type fakeControl struct {
	mu        sync.Mutex
	responses map[string]response
	edits     []control.EditRequest
}

type response struct {
	status int
	body   any
}

func (f *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := r.Method + " " + r.URL.RequestURI()
	a, ok := f.responses[key]
	if !ok {
		a = response{http.StatusNotFound, control.Problem{Detail: "no response for " + key}}
	}
	if r.Method == http.MethodPost && r.URL.Path == control.PathRules {
		var q control.EditRequest
		_ = json.NewDecoder(r.Body).Decode(&q)
		f.edits = append(f.edits, q)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body)
}

func status(revisions ...uint64) response {
	s := control.Status{Self: "i0", Ready: true, Revision: revisions[0], Author: "A. Bello"}
	for i, r := range revisions {
		id := model.InstanceID(fmt.Sprint("i", i))
		s.Members = append(s.Members, control.Member{ID: id, Region: "lagos", State: "alive", Revision: r, ReportAge: 0.4})
	}
	return response{200, s}
}

// execute runs one command line against the fakeControl server.
func execute(t *testing.T, f *fakeControl, in string, args ...string) (code int, out, errs string) {
	t.Helper()
	s := httptest.NewServer(f)
	defer s.Close()
	env := func(string) string { return strings.TrimPrefix(s.URL, "http://") }
	var o, e bytes.Buffer
	code = run(t.Context(), append([]string{"jujubectl"}, args...), strings.NewReader(in), &o, &e, env)
	return code, o.String(), e.String()
}

// Guards against exit codes with which a script could mistake one result for
// another, and against error messages that do not say what to do next.
func TestExitCodes(t *testing.T) {
	conflict := control.Problem{
		Outcome: "conflict", Detail: "A. Bello saved revision 4", Winner: &control.RevisionInfo{Revision: 4, Author: "A. Bello"},
		Changes: []rules.Change{{Added: true, Line: 2, Rule: "hold entries", Requester: "A. Bello"}},
	}
	inForce := response{200, control.Rules{RevisionInfo: control.RevisionInfo{Revision: 3}, Text: "old"}}
	textWithBase := baseLine + "3\n" + valid
	for name, c := range map[string]struct {
		post   response
		in     string
		args   []string
		code   int
		output string
	}{
		"done":             {response{200, control.EditReply{RevisionInfo: control.RevisionInfo{Revision: 4}}}, textWithBase, []string{"rules", "apply", "-"}, 0, "in force at all known instances"},
		"base with edit":   {response{200, control.EditReply{RevisionInfo: control.RevisionInfo{Revision: 4}}}, baseLine + "3 abc\n" + valid, []string{"rules", "apply", "-"}, 0, "Revision 4 is accepted"},
		"explicit base":    {response{200, control.EditReply{RevisionInfo: control.RevisionInfo{Revision: 4}}}, valid, []string{"rules", "apply", "-base", "3", "-"}, 0, "Revision 4 is accepted"},
		"no base":          {response{200, nil}, valid, []string{"rules", "apply", "-"}, 2, "which revision"},
		"conflict":         {response{409, conflict}, textWithBase, []string{"rules", "apply", "-"}, 5, "+ hold entries # A. Bello"},
		"unknown":          {response{504, control.Problem{Outcome: "unknown", Detail: "not confirmed"}}, textWithBase, []string{"rules", "apply", "-"}, 4, "rules history"},
		"unavailable":      {response{503, control.Problem{Outcome: "unavailable", Detail: "store down"}}, textWithBase, []string{"rules", "apply", "-"}, 1, "store down"},
		"faulty file":      {response{200, nil}, textWithBase + "hold x # A\n", []string{"rules", "apply", "-"}, 1, "line 3: read \"x\": unknown service"},
		"check":            {response{}, valid, []string{"rules", "check", "-"}, 0, "valid: 1 regions"},
		"check fails":      {response{}, "hold x", []string{"rules", "check", "-"}, 1, "comment is missing"},
		"no file":          {response{}, "", []string{"rules", "check", "/nonexistent"}, 1, "no such file"},
		"unknown verb":     {response{}, "", []string{"rules", "frob"}, 2, ""},
		"unknown command":  {response{}, "", []string{"frob"}, 2, ""},
		"missing argument": {response{}, "", []string{"drain"}, 2, "usage: jujubectl drain INSTANCE"},
		"no address":       {response{}, "", []string{"-control", "", "status"}, 2, "JUJUBECTL_CONTROL"},
		"unreachable":      {response{}, "", []string{"status", "-control", "127.0.0.1:1"}, 3, "-control"},
		"refused":          {response{}, "", []string{"drain", "i9"}, 1, "no response"},
	} {
		f := &fakeControl{responses: map[string]response{
			"GET /v1/rules": inForce, "POST /v1/rules": c.post, "GET /v1/status": status(4, 4),
		}}
		code, out, errs := execute(t, f, c.in, c.args...)
		if code != c.code || !strings.Contains(out+errs, c.output) {
			t.Errorf("%s: code %d, want %d\n%s%s", name, code, c.code, out, errs)
		}
		if c.output != "" && c.code != 0 && !strings.Contains(errs, "Next: ") {
			t.Errorf("%s: no next step\n%s", name, errs)
		}
		for _, e := range f.edits {
			if e.Text != valid || e.Base != 3 || e.BaseEditID == "abc" != (name == "base with edit") || e.Author == "" || len(e.EditID) < 16 {
				t.Errorf("%s: sent %+v", name, e)
			}
		}
		if c.code != 0 && c.post.status == 200 && len(f.edits) > 0 {
			t.Errorf("%s: the edit was sent", name)
		}
	}
}

// Guards against an apply that reports full success while some instances still
// use old rules.
func TestApplyNamesUnconfirmedInstances(t *testing.T) {
	f := &fakeControl{responses: map[string]response{
		"POST /v1/rules": {200, control.EditReply{RevisionInfo: control.RevisionInfo{Revision: 1}}},
		"GET /v1/status": status(1, 0, 1),
	}}
	code, out, errs := execute(t, f, valid, "rules", "apply", "-wait", "300ms", "-author", "J. Ade", "-")
	if code != 0 || !strings.Contains(out, "1 instances have not confirmed it within 300ms: i1") {
		t.Errorf("code %d\n%s%s", code, out, errs)
	}
	if e := f.edits[0]; e.Author != "J. Ade" || e.Base != 0 {
		t.Errorf("sent %+v", e)
	}
}

// Guards against tables that lack the information that operators need, and
// against invalid JSON output.
func TestOutput(t *testing.T) {
	old := control.Rules{RevisionInfo: control.RevisionInfo{Revision: 2, Author: "J. Ade"}, Text: valid}
	now := control.Rules{RevisionInfo: control.RevisionInfo{Revision: 3}, Text: valid + "service entries priority 1 # M. Eze\n"}
	f := &fakeControl{responses: map[string]response{
		"GET /v1/status":                                       status(3, 2),
		"GET /v1/rules":                                        {200, now},
		"GET /v1/rules?revision=2":                             {200, old},
		"GET /v1/rules/history?limit=5":                        {200, control.History{Revisions: []control.RevisionInfo{old.RevisionInfo}}},
		"GET /v1/entries?caller=10.0.0.1":                      {200, control.Entries{Caller: "10.0.0.1", TTL: 60, Entries: []control.Entry{{Instance: "i0", Address: "10.9.0.1:80"}}}},
		"GET /v1/rules?revision=1":                             {200, control.Rules{RevisionInfo: control.RevisionInfo{Revision: 1, EditID: "abc"}}},
		"POST /v1/drain":                                       {200, control.DrainReply{Instance: "i0", Draining: true}},
		"POST /v1/undrain":                                     {200, control.DrainReply{Instance: "i0"}},
		"GET /v1/explain?method=GET&path=%2Fx&service=entries": {200, control.Explanation{Priority: 2, Regions: []control.RegionView{{Region: "lagos", Weight: 0.5, Drained: true}}}},
	}}
	file := filepath.Join(t.TempDir(), "rules")
	if err := os.WriteFile(file, []byte(baseLine+"3\n"+valid), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, want string }{
		{"status", "i1 lagos alive 2 400ms"},
		{"rules show", "# base revision 3 " + "region lagos lagos-a # network team service entries"},
		{"rules show 1", "# base revision 1 abc"},
		{"rules show 2", "# base revision 2 region lagos"},
		{"rules history -limit 5", "J. Ade"},
		{"rules diff 2", "+ service entries priority 1 # M. Eze"},
		{"rules diff " + file, "- service entries priority 1 # M. Eze"},
		{"entries 10.0.0.1", "i0 10.9.0.1:80"},
		{"explain entries GET /x", "lagos 50.0% 0 0 0 0 drained"},
		{"drain i0", "i0 is draining"},
		{"undrain i0", "i0 is returned by lookups again"},
	} {
		code, out, errs := execute(t, f, "", strings.Fields(c.args)...)
		if got := strings.Join(strings.Fields(out), " "); code != 0 || !strings.Contains(got, c.want) {
			t.Errorf("%s: code %d\n%s%s", c.args, code, out, errs)
		}
		code, out, _ = execute(t, f, "", append([]string{"-json"}, strings.Fields(c.args)...)...)
		if code != 0 || !json.Valid([]byte(out)) {
			t.Errorf("-json %s: code %d\n%s", c.args, code, out)
		}
	}
	if _, _, errs := execute(t, f, "", "drain", "-json"); !json.Valid([]byte(errs)) {
		t.Errorf("an error under -json is not JSON: %s", errs)
	}
}
