package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/freeport"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

const rulesText = "region lagos lagos-a # N\nservice entries priority 1 # M\ncapacity lagos entries 16 # T\ncallers 10.0.0.0/8 lagos # N\n"

// fakes implements all interfaces that the handler depends on.
type fakes struct {
	result  configsync.Result
	edits   []configsync.Request
	drained map[model.InstanceID]bool
	ready   bool
}

func (f *fakes) Edit(_ context.Context, r configsync.Request) configsync.Result {
	f.edits = append(f.edits, r)
	return f.result
}
func (f *fakes) Revision(_ context.Context, n uint64) (configsync.Document, error) {
	if n == 9 {
		return configsync.Document{}, errors.NotFoundf("revision")
	}
	return configsync.Document{Head: configsync.Head{Revision: n}, Text: "old"}, nil
}
func (f *fakes) History(_ context.Context, limit int) ([]configsync.Head, error) {
	return make([]configsync.Head, limit), nil
}
func (f *fakes) Self() model.InstanceID { return "a-1" }
func (f *fakes) Members(time.Time) []Member {
	return []Member{{ID: "b-1", State: "alive"}, {ID: "a-1", State: "alive", Revision: 1}}
}
func (f *fakes) Entries(time.Time, netip.Addr) ([]Entry, time.Duration) {
	return []Entry{{Instance: "a-1", Address: "10.0.0.1:80"}}, time.Minute
}
func (f *fakes) SetDraining(_ context.Context, id model.InstanceID, draining bool, _ string) error {
	if id == "unknown" {
		return errors.NotFoundf("instance")
	}
	f.drained[id] = draining
	return nil
}
func (f *fakes) Regions(time.Time, model.Service) []RegionView {
	return []RegionView{{Region: "lagos", Slots: 4, Free: 1}}
}

// startServer serves the API from fakes, with revision 3 of the rules in force. It
// returns the fakes, the URL and a client.
func startServer(t *testing.T) (*fakes, string, *Client) {
	f := &fakes{ready: true, drained: map[model.InstanceID]bool{}}
	state := configsync.NewState(time.Now)
	doc, err := configsync.Decode([]byte(`{"revision":3,"edit_id":"e3","author":"J. Ade","text":"` + strings.ReplaceAll(rulesText, "\n", `\n`) + `"}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := state.Apply(doc); err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(NewHandler(Dependencies{
		State: state, Editor: f, Archive: f, Fleet: f, Lookup: f, Drainer: f, Explainer: f,
		Ready: func() (bool, string) { return f.ready, "no slots yet" }, Now: time.Now,
	}))
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	c, err := NewClient([]string{address})
	if err != nil {
		t.Fatal(err)
	}
	return f, s.URL, c
}

// Guards against a client and server that disagree on the encoding of a body, and
// against responses without the data from the rules.
func TestClientAndServerAgree(t *testing.T) {
	f, _, c := startServer(t)
	ctx := t.Context()
	s, err := c.Status(ctx)
	if err != nil || s.Self != "a-1" || !s.Ready || s.Revision != 3 || s.Author != "J. Ade" || s.Members[0].ID != "a-1" {
		t.Errorf("status: %+v, %v", s, err)
	}
	e, err := c.Entries(ctx, "::ffff:10.1.2.3")
	if err != nil || e.Caller != "10.1.2.3" || e.TTL != 60 || len(e.Entries) != 1 {
		t.Errorf("entries: %+v, %v", e, err)
	}
	x, err := c.Explain(ctx, "entries", "post", "/fees", "10.1.2.3")
	if err != nil || x.Priority != 1 || x.Repeatable || x.CallerRegion != "lagos" || x.Regions[0].Capacity != 16 || x.Regions[0].Free != 1 {
		t.Errorf("explain: %+v, %v", x, err)
	}
	r, err := c.Rules(ctx, 0)
	if err != nil || r.Text != rulesText || r.Revision != 3 {
		t.Errorf("rules: %+v, %v", r, err)
	}
	if r, err := c.Rules(ctx, 2); err != nil || r.Text != "old" || r.Revision != 2 {
		t.Errorf("revision 2: %+v, %v", r, err)
	}
	if h, err := c.History(ctx, 7); err != nil || len(h.Revisions) != 7 {
		t.Errorf("history: %+v, %v", h, err)
	}
	if d, err := c.SetDraining(ctx, "b-1", true, "J. Ade"); err != nil || !d.Draining || !f.drained["b-1"] {
		t.Errorf("drain: %+v, %v", d, err)
	}
	if d, err := c.SetDraining(ctx, "b-1", false, "J. Ade"); err != nil || d.Draining || f.drained["b-1"] {
		t.Errorf("undrain: %+v, %v", d, err)
	}
	f.result = configsync.Result{Outcome: configsync.Accepted, Head: configsync.Head{Revision: 4}}
	q := EditRequest{Text: "<&>", Author: "J. Ade", Base: 3, EditID: "e4"}
	a, err := c.Edit(ctx, q)
	if err != nil || a.Revision != 4 || f.edits[0] != (configsync.Request{Text: "<&>", Author: "J. Ade", Base: 3, EditID: "e4"}) {
		t.Errorf("edit: %+v, %v; got %+v", a, err, f.edits)
	}
}

// singleKeyStore is a store with one key.
type singleKeyStore struct {
	store.Store
	key, value string
}

func (s singleKeyStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	if s.key == "" {
		return store.KeyValue{}, store.ErrUnavailable
	}
	if key != s.key {
		return store.KeyValue{}, store.ErrNotFound
	}
	return store.KeyValue{Key: key, Value: []byte(s.value)}, nil
}

// Guards against reporting a revision as missing while the store is unavailable,
// and against reporting the store as unavailable when the revision is missing.
func TestArchive(t *testing.T) {
	state := configsync.NewState(time.Now)
	present := singleKeyStore{key: "rules/history/00000000000000000002", value: `{"revision":2,"edit_id":"e","author":"A","text":"x"}`}
	if d, err := NewArchive(present, state).Revision(t.Context(), 2); err != nil || d.Text != "x" {
		t.Errorf("present: %+v, %v", d, err)
	}
	if _, err := NewArchive(present, state).Revision(t.Context(), 3); !errors.Is(err, errors.NotFound) {
		t.Errorf("absent: %v", err)
	}
	if _, err := NewArchive(singleKeyStore{}, state).Revision(t.Context(), 2); err == nil || errors.Is(err, errors.NotFound) {
		t.Errorf("store unavailable: %v", err)
	}
}

// Guards against a response to a rejected edit that lacks the outcome, the detail,
// the changes of the conflicting edit or the errors in the text.
func TestEditProblems(t *testing.T) {
	f, _, c := startServer(t)
	for outcome, status := range statusByOutcome {
		f.result = configsync.Result{
			Outcome: outcome, Detail: "why", Head: configsync.Head{Revision: 5, Author: "A. Bello"},
			Changes: []rules.Change{{Added: true, Line: 2, Rule: "hold x", Requester: "A"}},
			Faults:  &rules.ErrorList{Errors: []rules.LineError{{Line: 3}}},
		}
		_, err := c.Edit(t.Context(), EditRequest{})
		var p *Problem
		if !errors.As(err, &p) || p.Status != status || p.Outcome != string(outcome) || p.Detail != "why" || len(p.Changes) != 1 || len(p.Faults.Errors) != 1 {
			t.Errorf("%s: %+v", outcome, err)
			continue
		}
		if outcome == configsync.Conflict && p.Winner.Author != "A. Bello" {
			t.Errorf("winner %+v", p.Winner)
		}
	}
}

// Guards against input without size limits or validation, and against error
// responses that are not problem details.
func TestServerRefusesBadInput(t *testing.T) {
	f, url, _ := startServer(t)
	f.ready = false
	long := strings.Repeat("x", maxQueryBytes+1)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/v1/nothing", "", 404},
		{"DELETE", PathRules, "", 405},
		{"GET", PathReady, "", 503},
		{"GET", PathEntries, "", 400},
		{"GET", PathEntries + "?caller=10.0.0.1:80", "", 400},
		{"GET", PathEntries + "?caller=fe80::1%25eth0", "", 400},
		{"GET", PathExplain + "?service=entries&method=GET&path=x", "", 400},
		{"GET", PathExplain + "?service=entries&method=GET&path=/" + long, "", 400},
		{"GET", PathExplain + "?service=kano&method=GET&path=/", "", 404},
		{"GET", PathHistory + "?limit=101", "", 400},
		{"GET", PathRules + "?revision=-1", "", 400},
		{"GET", PathRules + "?revision=9", "", 404},
		{"POST", PathDrain, `{"instance":"unknown","author":"A"}`, 404},
		{"POST", PathDrain, `{"instance":"a/b","author":"A"}`, 422},
		{"POST", PathDrain, `{"instance":"a-1","author":""}`, 422},
		{"POST", PathDrain, `{"instance":"a-1","author":"A","more":1}`, 400},
		{"POST", PathDrain, `{"instance":"a-1","author":"A"}{}`, 400},
		{"POST", PathDrain, `{"instance":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 413},
		{"POST", PathRules, `{"text":"` + strings.Repeat("x", maxEditBytes) + `"}`, 413},
		{"POST", PathRules, ``, 400},
	} {
		r, _ := http.NewRequest(c.method, url+c.path, strings.NewReader(c.body))
		r.Header.Set("Content-Type", jsonType)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status || resp.Header.Get("Content-Type") != problemType {
			t.Errorf("%s %.60s %.60s: %d %s, want %d", c.method, c.path, c.body, resp.StatusCode, resp.Header.Get("Content-Type"), c.status)
		}
	}
	resp, err := http.Post(url+PathDrain, "text/plain", strings.NewReader("{}"))
	if err != nil || resp.StatusCode != http.StatusUnsupportedMediaType {
		t.Errorf("plain text: %v %v", resp.Status, err)
	}
	if len(f.edits)+len(f.drained) > 0 {
		t.Error("a rejected request had an effect")
	}
}

// Guards against a client that reports an instance as unreachable although it may
// have executed the request, and against a client that does not try the next
// instance.
func TestClientFailover(t *testing.T) {
	_, url, _ := startServer(t)
	good := strings.TrimPrefix(url, "http://")
	closed, err := freeport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer closed.Release()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	abortingAddr := strings.TrimPrefix(aborting.URL, "http://")
	for name, c := range map[string]struct {
		addresses []string
		read      error
		write     error
	}{
		"no instance":                  {[]string{closed.Loopback().String()}, ErrUnreachable, ErrUnreachable},
		"the next one":                 {[]string{closed.Loopback().String(), good}, nil, nil},
		"lost response":                {[]string{abortingAddr}, ErrUnreachable, ErrOutcomeUnknown},
		"lost response, then none":     {[]string{abortingAddr, closed.Loopback().String()}, ErrUnreachable, ErrOutcomeUnknown},
		"lost response, then repeated": {[]string{abortingAddr, good}, nil, nil},
	} {
		client, err := NewClient(c.addresses)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Status(t.Context()); !errors.Is(err, c.read) {
			t.Errorf("%s: status: %v", name, err)
		}
		if _, err := client.SetDraining(t.Context(), "b-1", true, "A"); !errors.Is(err, c.write) {
			t.Errorf("%s: drain: %v", name, err)
		}
	}
	for _, bad := range [][]string{nil, {"host"}, {"host:"}} {
		if _, err := NewClient(bad); err == nil {
			t.Errorf("addresses %v were accepted", bad)
		}
	}
}
