package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// instance is a stand-in for an entry instance.
type instance struct {
	srv  *httptest.Server
	addr string

	mu   sync.Mutex
	keys []string
}

type fleet struct {
	instances []*instance

	mu    sync.Mutex
	lists int
}

// newFleet starts instances whose services answer by the given functions, and
// which report the given outcome of any key.
func newFleet(t *testing.T, report string, services ...http.HandlerFunc) (*fleet, *Client) {
	f := &fleet{}
	for _, service := range services {
		in := &instance{}
		mux := http.NewServeMux()
		mux.HandleFunc("/v1/services/", func(w http.ResponseWriter, r *http.Request) {
			in.mu.Lock()
			in.keys = append(in.keys, strings.Trim(r.Header.Get("Idempotency-Key"), `"`))
			in.mu.Unlock()
			service(w, r)
		})
		mux.HandleFunc("/v1/outcomes/", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, report)
		})
		mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, _ *http.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lists++
			w.Header().Set("Cache-Control", "max-age=10")
			json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 10000, "entries": f.entries()})
		})
		in.srv = httptest.NewServer(mux)
		in.addr = in.srv.Listener.Addr().String()
		t.Cleanup(in.srv.Close)
		f.instances = append(f.instances, in)
	}
	last := f.instances[len(f.instances)-1]
	c := New(Config{Bootstrap: []string{last.addr}, Timeout: 2 * time.Second})
	t.Cleanup(c.Close)
	return f, c
}

// sent returns the keys of the requests that arrived.
func (in *instance) sent() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.keys
}

func (f *fleet) entries() []Entry {
	var out []Entry
	for i, in := range f.instances {
		out = append(out, Entry{ID: fmt.Sprint(i), Addr: in.addr, KeyPrefix: fmt.Sprintf("i%d.", i)})
	}
	return out
}

func answered(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Jujubestile-Outcome", "answered")
	w.WriteHeader(201)
	fmt.Fprint(w, r.Header.Get("Jujubestile-Attempt"))
}

func problemOf(status int, o string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Jujubestile-Outcome", o)
		w.Header().Set("Content-Type", problemContent)
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"title":"t","status":%d,"key_prefix":"next."}`, status)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func silent(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(1500 * time.Millisecond):
	}
}

var post = Request{Service: "entries", Method: "POST", Path: "/e", Body: []byte("b")}

// Guards against sending work twice that may have run, against a key that is
// used again after "not run" closed it, and against calling an unknown outcome
// not run.
func TestOutcomes(t *testing.T) {
	const notRun, unknown, gone = "*client.NotRunError", "*client.UnknownError", "*client.ResponseGoneError"
	ok := answered
	const isUnknown, isDone = `{"outcome":"unknown"}`, `{"outcome":"answered","status":201,"body":"Ymk="}`
	for name, c := range map[string]struct {
		first, second http.HandlerFunc
		report        string
		req           Request
		err           string
		body          string
		sends         [2]int
	}{
		"answered":               {ok, ok, "", post, "", "1", [2]int{1, 0}},
		"not run, then answered": {problemOf(503, "not-run"), ok, "", post, "", "2", [2]int{1, 1}},
		"malformed":              {problemOf(400, "not-run"), ok, "", post, notRun, "", [2]int{1, 0}},
		"unknown, still unknown": {problemOf(504, "unknown"), ok, isUnknown, post, unknown, "", [2]int{1, 0}},
		"broken, recorded":       {abort, ok, isDone, post, "", "bi", [2]int{1, 0}},
		"broken, gone":           {abort, ok, `{"outcome":"answered","status":201,"body_gone":true}`, post, gone, "", [2]int{1, 0}},
		"broken, closed":         {abort, ok, `{"outcome":"not-run"}`, post, "", "2", [2]int{1, 1}},
		"broken, unknown":        {abort, ok, isUnknown, post, unknown, "", [2]int{1, 0}},
		"silent, recorded":       {silent, ok, isDone, post, "", "bi", [2]int{1, 0}},
		"broken, repeatable":     {abort, ok, "", Request{Service: "s", Method: "GET", Path: "/"}, "", "2", [2]int{1, 1}},
		"unknown, repeatable":    {problemOf(504, "unknown"), ok, "", Request{Service: "s", Method: "PUT", Repeatable: true}, "", "2", [2]int{1, 1}},
		"reused key":             {problemOf(422, "unknown"), ok, isDone, post, unknown, "", [2]int{1, 0}},
		"own key, not run":       {problemOf(503, "not-run"), ok, "", Request{Service: "s", Method: "POST", Key: "k"}, notRun, "", [2]int{1, 0}},
		"no outcome":             {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, ok, isUnknown, post, unknown, "", [2]int{1, 0}},
		"no outcome, malformed":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, ok, isUnknown, post, unknown, "", [2]int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, cl := newFleet(t, c.report, c.first, c.second)
			resp, err := cl.Do(context.Background(), c.req)
			if kind := fmt.Sprintf("%T", err); err == nil && c.err != "" || err != nil && kind != c.err {
				t.Fatalf("error %s %v, want %s", kind, err, c.err)
			}
			if err == nil && string(resp.Body) != c.body {
				t.Errorf("body %q, want %q", resp.Body, c.body)
			}
			for i, in := range f.instances {
				if len(in.sent()) != c.sends[i] {
					t.Errorf("instance %d got %d requests, want %d", i, len(in.sent()), c.sends[i])
				}
			}
			if k := f.instances[0].sent(); c.req.Method == "POST" && c.req.Key == "" && !strings.HasPrefix(k[0], "i0.") {
				t.Errorf("key %q", k[0])
			}
			if k := f.instances[1].sent(); len(k) > 0 && c.req.Method == "POST" && !strings.HasPrefix(k[0], "i1.") {
				t.Errorf("key %q", k[0])
			}
		})
	}
}

// Guards against waiting for an instance that is gone, and against asking for
// the list with every request.
func TestConnectRefused(t *testing.T) {
	ok := answered
	f, c := newFleet(t, "", ok, ok)
	f.instances[0].srv.Close()
	for range 20 {
		if resp, err := c.Do(context.Background(), post); err != nil || resp.Attempts != 1 {
			t.Fatalf("%+v %v", resp, err)
		}
	}
	f.mu.Lock()
	if f.lists != 1 {
		t.Errorf("%d questions for the list, want 1", f.lists)
	}
	f.mu.Unlock()
	f.instances[1].srv.Close()
	// The client notices the end of its idle connection. Before that, a
	// request on it is unknown.
	time.Sleep(50 * time.Millisecond)
	var notRun *NotRunError
	if _, err := c.Do(context.Background(), post); !errors.As(err, &notRun) {
		t.Errorf("all instances gone: %v", err)
	}
	none := New(Config{Bootstrap: []string{f.instances[0].addr}})
	if _, err := none.Do(context.Background(), post); !errors.As(err, &notRun) || !errors.Is(err, errNoEntries) {
		t.Errorf("no list: %v", err)
	}
}

// Guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	f, c := newFleet(t, "", problemOf(503, "not-run"), problemOf(503, "not-run"))
	const requests = 300
	for range requests {
		if _, err := c.Do(context.Background(), post); err == nil {
			t.Fatal("answered")
		}
	}
	sends := len(f.instances[0].sent()) + len(f.instances[1].sent())
	if most := requests*11/10 + budgetCap; sends > most {
		t.Errorf("%d attempts for %d requests, want at most %d", sends, requests, most)
	}
	t.Logf("%d attempts for %d requests, all refused", sends, requests)
	seen := map[string]bool{}
	for _, in := range f.instances {
		for _, key := range in.sent() {
			if seen[key] {
				t.Fatalf("key %q used twice", key)
			}
			seen[key] = true
		}
	}
}

// Guards against replays hidden in net/http, which repeats requests with an
// Idempotency-Key on reused connections.
func TestNoHiddenReplays(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	n := 0
	var mu sync.Mutex
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n > 1 {
			panic(http.ErrAbortHandler)
		}
	})}
	go srv.Serve(ln)
	defer srv.Close()
	c := New(Config{})
	defer c.Close()
	h := http.Header{"Idempotency-Key": {"k"}}
	if _, err := c.exchange(context.Background(), ln.Addr().String(), "POST", "/", h, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.exchange(context.Background(), ln.Addr().String(), "POST", "/", h, nil); err == nil {
		t.Error("broken connection not reported")
	}
	mu.Lock()
	defer mu.Unlock()
	if n != 2 {
		t.Errorf("%d arrivals for 2 requests", n)
	}
}
