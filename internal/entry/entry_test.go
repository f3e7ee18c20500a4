package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

type doFunc func(ctx context.Context, r *Request, c Claim) Result

func (f doFunc) Do(ctx context.Context, r *Request, c Claim) Result {
	return f(ctx, r, c)
}

type soleInstance struct{}

func (soleInstance) Witness([]model.InstanceID) (model.InstanceID, model.Incarnation, bool) {
	return "", 0, false
}
func (soleInstance) Successor(model.InstanceID, model.Incarnation) (model.InstanceID, bool) {
	return "", false
}
func (soleInstance) KnownEpoch(model.InstanceID, model.Incarnation, uint64) bool { return true }
func (soleInstance) Entries(netip.Addr) []Entry {
	return []Entry{{ID: "b", Addr: netip.MustParseAddrPort("10.0.0.2:80"), Region: "lagos", KeyPrefix: "b.1.0.-.0."}}
}

func testRules() *rules.Set {
	return &rules.Set{
		Services:   map[model.Service]model.Priority{"entries": 1, "results": 3},
		Priorities: []rules.PriorityRule{{Match: rules.RequestMatch{Service: "results", PathPrefix: "/live"}, Priority: 2}, {Match: rules.RequestMatch{Service: "entries", Method: "GET", PathPrefix: "/"}, Priority: 2}},
		Repeatable: []rules.RequestMatch{{Service: "results", Method: "POST", PathPrefix: "/search"}},
	}
}

func newTestHandler(do doFunc) (*Handler, *ledger.Ledger) {
	l := ledger.New(ledger.Config{Self: "a", Inc: 1, Members: soleInstance{}})
	return New(Config{Dispatcher: do, Ledger: FromLedger(l), Classifier: RulesClassifier(testRules), Directory: soleInstance{}, BodyTimeout: 100 * time.Millisecond, Log: events.Nop()}), l
}

func echo(_ context.Context, r *Request, _ Claim) Result {
	return Result{Outcome: model.OutcomeAnswered, Response: &ledger.Response{Status: 201, Body: []byte(r.Method + " " + r.Path), Header: http.Header{"X-A": {"1"}}}}
}

func do(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://x/", strings.NewReader(body))
	if u, err := url.Parse("http://x" + path); err == nil {
		r.URL = u
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against accepting requests that exceed the limits, paths that endpoints
// resolve differently from the rules, and responses without an outcome.
func TestBadInputs(t *testing.T) {
	h, l := newTestHandler(echo)
	key := l.Prefix()
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		outcome            string
	}{
		{"GET", "/v1/services/entries/a%2Fb?x=1", "", nil, 201, "answered"},
		{"GET", "/v1/services/entries", "", nil, 201, "answered"},
		{"GET", "/v1/services/nosuch/", "", nil, 404, "not-run"},
		{"GET", "/v1/services//x", "", nil, 400, "not-run"},
		{"GET", "/elsewhere", "", nil, 404, "not-run"},
		{"POST", "/v1/services/results/search/../entries", "", nil, 400, "not-run"},
		{"POST", "/v1/services/results/search/%2e%2e/entries", "", nil, 400, "not-run"},
		{"POST", "/v1/services/results/search/..%2fentries", "", nil, 400, "not-run"},
		{"POST", "/v1/services/results/search/..%5centries", "", nil, 400, "not-run"},
		{"POST", "/v1/services/results/search/..;a=b/entries", "", nil, 400, "not-run"},
		{"TRACE", "/v1/services/entries/", "", nil, 405, "not-run"},
		{"POST", "/v1/services/entries/", "", []string{"Grpc-Timeout", "5x"}, 400, "not-run"},
		{"POST", "/v1/services/entries/", "", []string{"Grpc-Timeout", "5S", "Grpc-Timeout", "6S"}, 400, "not-run"},
		{"POST", "/v1/services/entries/", "", []string{KeyHeader, "a b"}, 400, "unknown"},
		{"POST", "/v1/services/entries/", "", []string{KeyHeader, `"a`}, 400, "unknown"},
		{"POST", "/v1/services/entries/", "", []string{KeyHeader, "a", KeyHeader, "b"}, 400, "unknown"},
		{"POST", "/v1/services/entries/", "", []string{KeyHeader, strings.Repeat("k", 256)}, 400, "unknown"},
		{"POST", "/v1/services/entries/", strings.Repeat("b", maxBodyBytes+1), []string{KeyHeader, key + "big"}, 413, "not-run"},
		{"POST", "/v1/services/entries/", "", []string{KeyHeader, key + "big"}, 503, "not-run"},
		{"GET", "/v1/services/entries/", "", []string{"X-Big", strings.Repeat("h", maxHeaderBytes)}, 431, "not-run"},
		{"GET", "/v1/outcomes/%20", "", nil, 400, "unknown"},
		{"GET", "/v1/entries?caller=nonsense", "", nil, 400, "not-run"},
		{"GET", "/v1/entries?caller=10.1.2.3", "", nil, 200, "answered"},
		{"PUT", "/v1/entries", "", nil, 405, "not-run"},
	} {
		w := do(h, c.method, c.path, c.body, c.header...)
		if w.Code != c.status || w.Header().Get(OutcomeHeader) != c.outcome {
			t.Errorf("%s %.60s %.60q: %d %q, want %d %q", c.method, c.path, c.header, w.Code, w.Header().Get(OutcomeHeader), c.status, c.outcome)
		}
		var p Problem
		if w.Code >= 400 && (json.Unmarshal(w.Body.Bytes(), &p) != nil || p.Status != w.Code || w.Header().Get("Content-Type") != problemType) {
			t.Errorf("%s %.60s: no problem details: %s", c.method, c.path, w.Body)
		}
	}
}

// Guards against callers that raise the priority class of their requests, and
// against rules that match part of a path segment.
func TestClassification(t *testing.T) {
	for _, c := range []struct {
		service, method, path, priority string
		want                            model.Priority
		repeatable                      bool
	}{
		{"entries", "POST", "/", "", 1, false}, {"entries", "POST", "/", "u=5", 3, false}, {"entries", "POST", "/", "u=3", 2, false},
		{"entries", "GET", "/x", "u=0", 2, true}, {"results", "GET", "/live/1", "u=0, i", 2, true}, {"results", "GET", "/lively", "u=0", 3, true},
		{"results", "POST", "/search", "", 3, true}, {"results", "POST", "/searching", "", 3, false}, {"results", "POST", "/", "u=9", 3, false},
		{"entries", "POST", "/", "i, u=7;x=1", 3, false}, {"entries", "POST", "/", "u=7, u=1", 1, false},
	} {
		class, found := RulesClassifier(testRules).Classify(model.Service(c.service), c.method, c.path)
		got := priorityOf(http.Header{PriorityHeader: {c.priority}}, class.Priority)
		if !found || got != c.want || class.Repeatable != c.repeatable {
			t.Errorf("%+v: priority %v repeatable %v", c, got, class.Repeatable)
		}
	}
}

// Guards against a second execution of a request that is sent again with its key,
// and against returning the response of another request with that key.
func TestKeyedRequests(t *testing.T) {
	runs := 0
	h, l := newTestHandler(func(ctx context.Context, r *Request, c Claim) Result {
		runs++
		if err := c.Intent(ctx); err != nil {
			return Result{Outcome: model.OutcomeNotRun}
		}
		if r.Path == "/panic" {
			panic("test")
		}
		return echo(ctx, r, c)
	})
	key := l.Prefix() + "1"
	for range 2 {
		w := do(h, "POST", "/v1/services/entries/e", "body", KeyHeader, `"`+key+`"`)
		if w.Code != 201 || w.Body.String() != "POST /e" || w.Header().Get("X-A") != "1" {
			t.Errorf("%d %s", w.Code, w.Body)
		}
	}
	if w := do(h, "POST", "/v1/services/entries/e", "other", KeyHeader, key); w.Code != 422 {
		t.Errorf("another body: %d", w.Code)
	}
	w := do(h, "GET", "/v1/outcomes/"+url.PathEscape(key), "")
	var report OutcomeReport
	if err := json.Unmarshal(w.Body.Bytes(), &report); err != nil || report.Status != 201 || string(report.Body) != "POST /e" {
		t.Errorf("outcome: %s", w.Body)
	}
	if runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
	if w := do(h, "POST", "/v1/services/results/search", "", KeyHeader, l.Prefix()+"3"); w.Code != 201 {
		t.Errorf("repeatable request with a key: %d", w.Code)
	}
	if w := do(h, "GET", "/v1/outcomes/"+l.Prefix()+"3", ""); w.Header().Get(OutcomeHeader) != "answered" {
		t.Errorf("outcome of a repeatable request: %v", w.Header())
	}
	if w := do(h, "POST", "/v1/services/entries/panic", "", KeyHeader, l.Prefix()+"2"); w.Code != 500 || w.Header().Get(OutcomeHeader) != "unknown" {
		t.Errorf("panic: %d %v", w.Code, w.Header())
	}
	if w := do(h, "POST", "/v1/services/entries/panic", "", KeyHeader, l.Prefix()+"2"); w.Code != 504 || w.Header().Get(OutcomeHeader) != "unknown" {
		t.Errorf("after a panic: %d %v", w.Code, w.Header())
	}
}

// Guards against aborting requests in flight during a graceful shutdown, and
// against refusing requests before the grace period ends.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	h, l := newTestHandler(func(ctx context.Context, r *Request, c Claim) Result {
		if r.Path == "/slow" {
			<-release
		}
		return echo(ctx, r, c)
	})
	var wg sync.WaitGroup
	wg.Go(func() {
		if w := do(h, "GET", "/v1/services/entries/slow", ""); w.Code != 201 {
			t.Errorf("in flight: %d", w.Code)
		}
	})
	for h.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Drain(50 * time.Millisecond)
	if w := do(h, "GET", "/v1/services/entries/x", ""); w.Code != 201 || w.Header().Get("Connection") != "close" {
		t.Errorf("during the grace period: %d %v", w.Code, w.Header())
	}
	time.Sleep(60 * time.Millisecond)
	w := do(h, "POST", "/v1/services/entries/x", "", KeyHeader, l.Prefix()+"1")
	var p Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Code != 503 || p.Outcome != model.OutcomeNotRun || len(p.Entries) != 1 || w.Header().Get("Retry-After") == "" {
		t.Errorf("after the grace period: %d %s", w.Code, w.Body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := h.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Wait with a request in flight: %v", err)
	}
	close(release)
	if err := h.Wait(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
}

// Guards against an incomplete response that looks complete, against canceling a
// request whose outcome must be recorded when its caller disconnects, and against
// callers that send their body slowly.
func TestConnections(t *testing.T) {
	ended := make(chan error, 1)
	h, l := newTestHandler(func(ctx context.Context, r *Request, c Claim) Result {
		switch r.Path {
		case "/wait":
			time.Sleep(30 * time.Millisecond)
			ended <- ctx.Err()
		case "/lie":
			return Result{Outcome: model.OutcomeAnswered, Response: &ledger.Response{Status: 204, Body: []byte("not allowed")}}
		}
		return echo(ctx, r, c)
	})
	srv := httptest.NewUnstartedServer(h)
	srv.Config = NewServer(h)
	srv.Start()
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /v1/services/entries/wait HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s1\r\nContent-Length: 0\r\n\r\n", l.Prefix())
	time.Sleep(10 * time.Millisecond)
	c.Close()
	if err := <-ended; err != nil {
		t.Errorf("context of a request with a key after its caller disconnected: %v", err)
	}
	if _, err := http.Get(srv.URL + "/v1/services/entries/lie"); err == nil {
		t.Error("a response with a body that cannot be completed was not aborted")
	}
	c, err = net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := time.Now()
	fmt.Fprint(c, "POST /v1/services/entries/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(start) > time.Second {
		t.Errorf("slow sender: %v %v after %v", resp, err, time.Since(start))
	}
	if resp != nil {
		io.Copy(io.Discard, resp.Body)
	}
}

// Guards against header and path parsers that panic, or accept values that exceed
// the limits or differ after formatting.
func FuzzHeaders(f *testing.F) {
	f.Add("u=3, i", "100m", `"a.1.0.b.2.x"`, "/v1/services/entries/a")
	f.Add("u=9", "99999999H", `a.1.0.-.0.`, "/v1/services/entries/%2e%2e/b")
	f.Add(`a="u=0,u=1"`, "-1S", `"`, "/v1/services/entries//..;/x")
	f.Fuzz(func(t *testing.T, priority, timeout, key, path string) {
		if got := priorityOf(http.Header{PriorityHeader: {priority}}, model.PriorityNormal); got < model.PriorityNormal || !got.Valid() {
			t.Errorf("Priority %q raised the class to %v", priority, got)
		}
		if d, err := timeoutOf(http.Header{model.TimeoutHeader: {timeout}}, 0, time.Minute); err == nil && (d < 0 || d > time.Minute) {
			t.Errorf("timeout %q: %v", timeout, d)
		}
		if k, err := parseKey(http.Header{KeyHeader: {key}}); err == nil && k != "" && ledger.CheckKey(k) != nil {
			t.Errorf("key %q accepted as %q", key, k)
		}
		if k, ok := ledger.ParseKey(key); ok && k.String() != key {
			t.Errorf("key %q parsed as %q", key, k)
		}
		u, err := url.ParseRequestURI(path)
		if err != nil {
			return
		}
		if s, p, _, err := servicePath(u); err == nil && (s == "" || strings.Contains("/"+p+"/", "/../")) {
			t.Errorf("path %q parsed as %q %q", path, s, p)
		}
	})
}
