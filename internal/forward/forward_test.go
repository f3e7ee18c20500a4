package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/logtest"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// fakeTransport is a Transport that returns the result of reply, which it calls
// with the number of the attempt, counted from 1.
type fakeTransport struct {
	mu    sync.Mutex
	sent  []string
	reply func(ctx context.Context, n int, to exchange.Target, call *exchange.Call) exchange.Result
}

func (e *fakeTransport) Do(ctx context.Context, to exchange.Target, call *exchange.Call) exchange.Result {
	e.mu.Lock()
	e.sent = append(e.sent, string(to.ID))
	n := len(e.sent)
	e.mu.Unlock()
	return e.reply(ctx, n, to, call)
}

func (e *fakeTransport) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

func ok(body string) exchange.Result {
	return exchange.Result{Status: 200, Header: http.Header{"X-Kept": {"as it is"}, "Connection": {"close"}}, Body: []byte(body)}
}

var (
	serverError = exchange.Result{Status: 500, Header: http.Header{"X-From": {"endpoint"}}, Body: []byte("failed")}
	shed        = exchange.Result{Outcome: exchange.NotRun, Status: 503, Header: http.Header{}, Fields: exchange.ResponseFields{NotRun: true}}
	broken      = exchange.Result{Outcome: exchange.Unknown, Err: io.ErrUnexpectedEOF}
	unreachable = exchange.Result{Outcome: exchange.NotSent, Err: errors.New("refused")}
)

// testProtocol reads the header fields Request-Id, Object and Wait-Ms.
type testProtocol struct{}

func (testProtocol) Read(h http.Header) forward.CallerFields {
	ms, err := strconv.Atoi(h.Get("Wait-Ms"))
	return forward.CallerFields{ID: h.Get("Request-Id"), Object: h.Get("Object"), Timeout: time.Duration(ms) * time.Millisecond, HasTimeout: err == nil}
}

type testServer struct {
	*forward.Handler
	server    *httptest.Server
	transport *fakeTransport
	log       *logtest.Buffer
	table     *steering.Table
	state     atomic.Pointer[desired.State]
	// behind makes the server refuse requests because it lacks changes.
	behind atomic.Bool
}

// newTestServer starts a handler with four endpoints and two routes: requests
// to /safe/ are repeatable, those to /pay/ are not.
func newTestServer(t testing.TB, reply func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result) *testServer {
	t.Helper()
	s := &testServer{transport: &fakeTransport{reply: reply}, log: &logtest.Buffer{}}
	rnd := rand.New(rand.NewPCG(1, 2))
	s.table = steering.New(steering.Config{Self: "i1", Domain: "a1", Region: "a", Regions: map[model.Domain]model.Region{"a1": "a"}, MaxShift: 0.15, Rand: rnd})
	for i := range 4 {
		s.table.Put(steering.Endpoint{ID: model.EndpointID(fmt.Sprint("e", i)), Service: "s", Domain: "a1", Slots: 5,
			Addr: netip.MustParseAddrPort("10.0.0.1:80")}, time.Now())
	}
	route := func(prefix string, safe bool, rank int) desired.Route {
		return desired.Route{Name: prefix, Host: "h.example", Prefix: prefix, Repeatable: safe, Rank: rank, Timeout: 500 * time.Millisecond,
			TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Sticky: true, TrafficSplit: []desired.WeightedService{{Service: "s", Weight: 1}}}
	}
	s.state.Store(desired.New(7, []desired.Route{route("/safe/", true, 1), route("/pay/", false, 0)},
		[]desired.Service{{Name: "s", MaxConnections: 100}}, desired.Limits{MaxBodyBytes: 1000}))
	s.Handler = forward.New(forward.Config{Protocol: testProtocol{}, EngineConfig: forward.EngineConfig{Log: events.New(s.log, zerolog.DebugLevel, "i1"), Table: s.table,
		Transport: s.transport, Budget: forward.NewBudget(forward.BudgetConfig{Ratio: 0.2, Slack: 120, Window: 10 * time.Second}),
		Rand: rand.New(rand.NewPCG(3, 4)), State: s.state.Load, Behind: s.behind.Load, Instances: func() int { return 1 },
		OnUnreachable: func(steering.Endpoint, error) {}}})
	s.serve(nil)
	t.Cleanup(func() { s.server.Close() })
	return s
}

// serve starts a server, behind the guard unless it is nil.
func (s *testServer) serve(g *forward.Guard) {
	s.server = httptest.NewUnstartedServer(s.Handler)
	s.server.Config.ConnContext, s.server.Config.ConnState = forward.ConnContext, forward.ConnState
	if g != nil {
		s.server.Listener = g.Listener(s.server.Listener, 0)
	} else {
		s.server.Listener = forward.Listener{Listener: s.server.Listener}
	}
	s.server.Start()
}

func (s *testServer) send(t *testing.T, method, path, id string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader("body of "+id))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Object", "17")
	req.Header.Set("Wait-Ms", "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestResponsesAreRelayedUnchanged(t *testing.T) {
	s := newTestServer(t, func(_ context.Context, _ int, _ exchange.Target, c *exchange.Call) exchange.Result {
		if c.Target != "/safe/a%2Fb?x=%20" || string(c.Body) != "body of r1" || c.Host != "h.example" {
			t.Errorf("call %+v", c)
		}
		return ok("whole")
	})
	resp, body := s.send(t, "GET", "/safe/a%2Fb?x=%20", "r1")
	if resp.StatusCode != 200 || body != "whole" || resp.Header.Get("X-Kept") != "as it is" || resp.Close {
		t.Fatalf("%d %q %v", resp.StatusCode, body, resp.Header)
	}
}

// For each series of endpoint failures, with repeatable and non-repeatable
// requests: guards against wrong numbers of attempts and against telling the
// caller a wrong outcome.
func TestOutcomes(t *testing.T) {
	type pattern []exchange.Result
	for _, c := range []struct {
		name    string
		path    string
		replies pattern
		status  int
		sent    int
		event   int
	}{
		{"repeatable, broken once", "/safe/x", pattern{broken, ok("")}, 200, 2, events.AttemptFailed.Number},
		{"repeatable, failed once", "/safe/x", pattern{serverError, ok("")}, 200, 2, events.AttemptFailed.Number},
		{"repeatable, failed twice", "/safe/x", pattern{serverError, serverError}, 500, 2, events.RequestFailed.Number},
		{"repeatable, broken twice", "/safe/x", pattern{broken, broken}, 502, 2, events.RequestFailed.Number},
		{"repeatable, failed and then broken", "/safe/x", pattern{serverError, broken}, 500, 2, events.RequestFailed.Number},
		{"payment, broken", "/pay/x", pattern{broken}, 502, 1, events.RequestFailed.Number},
		{"payment, failed", "/pay/x", pattern{serverError}, 500, 1, events.RequestFailed.Number},
		{"payment, shed and then run", "/pay/x", pattern{shed, ok("")}, 200, 2, events.AttemptFailed.Number},
		{"payment, shed twice", "/pay/x", pattern{shed, shed}, 503, 2, events.RequestRefused.Number},
		{"payment, shed and then broken", "/pay/x", pattern{shed, broken}, 502, 2, events.RequestFailed.Number},
		{"payment, unreachable and then run", "/pay/x", pattern{unreachable, ok("")}, 200, 2, events.AttemptFailed.Number},
		{"payment, all unreachable", "/pay/x", pattern{unreachable, unreachable, unreachable, unreachable}, 503, 4, events.RequestRefused.Number},
		{"unknown path", "/none/x", nil, 404, 0, events.RequestRefused.Number},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t, func(_ context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				if n > len(c.replies) {
					t.Errorf("sent %d times", n)
					return ok("")
				}
				return c.replies[n-1]
			})
			resp, body := s.send(t, "POST", c.path, "r1")
			if resp.StatusCode != c.status || s.transport.count() != c.sent {
				t.Fatalf("status %d after %d attempts, want %d after %d; body %s", resp.StatusCode, s.transport.count(), c.status, c.sent, body)
			}
			if c.status == 503 {
				if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 0.5 {
					t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
				}
				if !strings.Contains(body, `"outcome":"not-run"`) {
					t.Errorf("body %s", body)
				}
			}
			if c.status == 502 && !strings.Contains(body, `"outcome":"unknown"`) {
				t.Errorf("body %s", body)
			}
			s.wantLine(t, c.event, "r1", "status")
		})
	}
}

// wantLine checks that the log has a line of the event for the request, with
// the given fields.
func (s *testServer) wantLine(t *testing.T, event int, request string, fields ...string) {
	t.Helper()
	for _, l := range s.log.Lines() {
		if l["event"] != float64(event) || l["request"] != request {
			continue
		}
		for _, f := range fields {
			if _, ok := l[f]; !ok {
				t.Errorf("line of event %d lacks %s: %v", event, f, l)
			}
		}
		return
	}
	t.Errorf("no line of event %d for request %s", event, request)
}

// Guards against a retry at the endpoint that has just failed.
func TestRetryUsesAnotherEndpoint(t *testing.T) {
	s := newTestServer(t, func(_ context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
		if n == 1 {
			return broken
		}
		return ok("")
	})
	s.send(t, "GET", "/safe/x", "r1")
	if s.transport.sent[0] == s.transport.sent[1] {
		t.Fatalf("both attempts went to %s", s.transport.sent[0])
	}
}

// An endpoint accepts a request and never responds: a repeatable request must
// be hedged before its deadline, and the first attempt be cancelled after the
// response to the second.
func TestSilentEndpointIsHedged(t *testing.T) {
	cancelled := make(chan struct{})
	s := newTestServer(t, func(ctx context.Context, n int, _ exchange.Target, _ *exchange.Call) exchange.Result {
		if n == 1 {
			<-ctx.Done()
			close(cancelled)
			return exchange.Result{Outcome: exchange.Abandoned, Err: ctx.Err()}
		}
		return ok("second")
	})
	if resp, body := s.send(t, "GET", "/safe/x", "r1"); resp.StatusCode != 200 || body != "second" {
		t.Fatalf("%d %q", resp.StatusCode, body)
	}
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Fatal("the first attempt was not cancelled")
	}
	s.wantLine(t, events.AttemptHedged.Number, "r1", "endpoint", "first")
}

// A non-repeatable request whose endpoint never responds must not be sent
// again, and must end soon after the route's timeout.
func TestTimeoutOfNonRepeatableRequest(t *testing.T) {
	release := make(chan struct{})
	s := newTestServer(t, func(_ context.Context, _ int, _ exchange.Target, _ *exchange.Call) exchange.Result {
		<-release
		return ok("late")
	})
	defer close(release)
	start := time.Now()
	resp, _ := s.send(t, "POST", "/pay/x", "r1")
	if took := time.Since(start); resp.StatusCode != 504 || took > 900*time.Millisecond || s.transport.count() != 1 {
		t.Fatalf("status %d after %s and %d attempts", resp.StatusCode, took, s.transport.count())
	}
}

// A caller closes its connection, also with a pipelined request pending:
// repeatable attempts must be cancelled, non-repeatable ones must continue.
func TestCallerDisconnects(t *testing.T) {
	for path, cancels := range map[string]bool{"/safe/x": true, "/pay/x": false} {
		t.Run(path, func(t *testing.T) {
			ended := make(chan bool, 4)
			started := make(chan struct{}, 4)
			s := newTestServer(t, func(ctx context.Context, _ int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				started <- struct{}{}
				select {
				case <-ctx.Done():
					ended <- true
				case <-time.After(250 * time.Millisecond):
					ended <- false
				}
				return ok("")
			})
			c, err := net.Dial("tcp", s.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			one := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nWait-Ms: 900\r\nContent-Length: 0\r\n\r\n"
			fmt.Fprintf(c, one+one, 1, 2)
			<-started
			_ = c.Close()
			if got := <-ended; got != cancels {
				t.Fatalf("attempt cancelled: %v, want %v", got, cancels)
			}
			time.Sleep(20 * time.Millisecond)
			if s.transport.count() != 1 {
				t.Fatal("the pipelined request was sent after its caller had disconnected")
			}
		})
	}
}

// Pipelined requests must be answered in order.
func TestPipeline(t *testing.T) {
	s := newTestServer(t, func(_ context.Context, _ int, _ exchange.Target, c *exchange.Call) exchange.Result {
		return ok("answer to " + c.ID)
	})
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range 5 {
		fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\n\r\n", i)
	}
	text := make([]byte, 0, 4096)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	for i := 0; i < 5; {
		buf := make([]byte, 1024)
		n, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, buf[:n]...)
		for i < 5 && bytes.Contains(text, []byte(fmt.Sprint("answer to r", i))) {
			i++
		}
	}
}

// Guards against answering 404 before a desired state is known: the instance
// must refuse with 503.
func TestWithoutDesiredState(t *testing.T) {
	s := newTestServer(t, nil)
	s.state.Store(nil)
	if resp, _ := s.send(t, "GET", "/safe/x", "r1"); resp.StatusCode != 503 {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// A planned shutdown must first close connections after their answers and
// then refuse new requests.
func TestStopping(t *testing.T) {
	s := newTestServer(t, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return ok("") })
	s.CloseConnections()
	if resp, _ := s.send(t, "GET", "/safe/x", "r1"); resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	s.Refuse()
	if resp, _ := s.send(t, "GET", "/safe/x", "r2"); resp.StatusCode != 503 || s.transport.count() != 1 {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

func TestBodyOverLimit(t *testing.T) {
	s := newTestServer(t, nil)
	req, _ := http.NewRequest("POST", s.server.URL+"/pay/x", bytes.NewReader(make([]byte, 1001)))
	req.Host = "h.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// Guards against requests that block on log lines because nobody reads the
// standard output.
func TestBlockedLogDelaysNothing(t *testing.T) {
	block := make(chan struct{})
	sink := events.NewSink(blockedWriter{block})
	defer sink.Close(time.Second)
	defer close(block)
	s := newTestServer(t, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return broken })
	s.Handler = nil
	h := forward.New(forward.Config{Protocol: testProtocol{}, EngineConfig: forward.EngineConfig{Log: events.New(sink, zerolog.DebugLevel, "i1"), Table: s.table,
		Transport: s.transport, Budget: forward.NewBudget(forward.BudgetConfig{Ratio: 0.2, Slack: 120, Window: 10 * time.Second}),
		Rand: rand.New(rand.NewPCG(3, 4)), State: s.state.Load, Instances: func() int { return 1 },
		OnUnreachable: func(steering.Endpoint, error) {}}})
	start := time.Now()
	for i := range 1000 {
		r := httptest.NewRequest("POST", "/pay/x", nil)
		r.Host = "h.example"
		r.Header.Set("Request-Id", fmt.Sprint("r", i))
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	if took := time.Since(start); took > 3*time.Second {
		t.Fatalf("1000 requests took %s", took)
	}
}

type blockedWriter struct{ block chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) { <-b.block; return len(p), nil }
