package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"jujubestile.example/jujubestile/internal/freeport"
	"jujubestile.example/jujubestile/internal/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type Text struct{ S string }

type Waiting struct {
	For time.Duration
	ctx context.Context
}

func (w *Waiting) SetCallContext(ctx context.Context) { w.ctx = ctx }

type Echo struct{ ran, ended atomic.Int64 }

func (e *Echo) Say(in Text, out *Text) error   { e.ran.Add(1); out.S = in.S; return nil }
func (e *Echo) Panic(in Text, out *Text) error { panic("broken method") }
func (e *Echo) Fail(in Text, out *Text) error  { return errors.New("refused") }
func (e *Echo) Trace(in *Waiting, out *Text) error {
	out.S = trace.SpanContextFromContext(in.ctx).TraceID().String()
	return nil
}
func (e *Echo) Wait(in *Waiting, out *Text) error {
	defer e.ended.Add(1)
	select {
	case <-time.After(in.For):
		out.S = "time"
	case <-in.ctx.Done():
		out.S = "context"
	}
	return nil
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func serve(t testing.TB, ln net.Listener, o ServerOptions) (*Server, *Echo) {
	t.Helper()
	s, e := NewServer(o), &Echo{}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, e
}

func pool(t testing.TB, addr string, o PoolOptions) *Pool {
	t.Helper()
	a := netip.MustParseAddrPort(addr)
	p := NewPool(func(model.InstanceID) (netip.AddrPort, bool) { return a, true }, o)
	t.Cleanup(p.Close)
	return p
}

func say(p *Pool, s string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out Text
	err := p.Call(ctx, "a", "Echo.Say", Text{s}, &out)
	return out.S, err
}

// waitFor polls because the counters change in other goroutines.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// Guards against mixing up the responses of concurrent calls on one connection,
// and against opening a connection for each call, which would send the type
// descriptions each time.
func TestConcurrentCalls(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, ServerOptions{})
	p := pool(t, ln.Addr().String(), PoolOptions{})
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			want := string(rune('a' + i))
			for range 20 {
				if got, err := say(p, want, 5*time.Second); got != want || err != nil {
					t.Errorf("got %q, %v, want %q", got, err, want)
				}
			}
		})
	}
	wg.Wait()
	if n := p.Stats()["dials"]; n > 2 {
		t.Errorf("%d dials, want at most 2", n)
	}
}

// Guards against a server that exits or hangs because of input in another
// protocol, a frame with a huge length, a connection that sends nothing, or one
// that stops in the middle of a frame. Fails without the limit on the length of
// frames, the header timeout or the message timeout.
func TestMalformedInput(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	s, _ := serve(t, ln, ServerOptions{HeaderTimeout: 100 * time.Millisecond, MessageTimeout: 100 * time.Millisecond})
	for name, in := range map[string]string{
		"http":      "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"oversized": "\x7f\xff\xff\xff",
		"over":      "\x00\x12\x00\x01",
		"empty":     "\x00\x00\x00\x00",
		"not gob":   "\x00\x00\x00\x05\xff\xfe\xfd\xfc\xfb",
		"cut off":   "\x00\x00\x10\x00\x01",
		"silent":    "",
	} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, in)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		// The kernel resets the connection if unread input is left, so a
		// closed connection shows as EOF or as a reset.
		var ne net.Error
		if n, err := conn.Read(make([]byte, 100)); n > 0 || (errors.As(err, &ne) && ne.Timeout()) {
			t.Errorf("%s: read %d bytes, %v, want a closed connection", name, n, err)
		}
		_ = conn.Close()
	}
	if n := s.Stats()["messages_malformed"]; n != 5 {
		t.Errorf("%d malformed messages counted, want 5", n)
	}
	p := pool(t, ln.Addr().String(), PoolOptions{})
	if got, err := say(p, "x", time.Second); got != "x" || err != nil {
		t.Errorf("call after malformed input: %q, %v", got, err)
	}
}

// Guards against sending or accepting messages larger than MaxMessageBytes, and
// against a smaller limit in effect. Fails without the check at the sender.
func TestMessageSizeLimit(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	_, e := serve(t, ln, ServerOptions{})
	p := pool(t, ln.Addr().String(), PoolOptions{})
	fits := string(make([]byte, MaxMessageBytes-200))
	if got, err := say(p, fits, 5*time.Second); got != fits || err != nil {
		t.Errorf("largest message: %d bytes, %v", len(got), err)
	}
	_, err := say(p, string(make([]byte, MaxMessageBytes+1)), 5*time.Second)
	if !errors.Is(err, ErrTooLarge) || !errors.Is(err, ErrNotSent) || e.ran.Load() != 1 {
		t.Errorf("oversized message: %v, %d runs", err, e.ran.Load())
	}
}

// Guards against a panic of a method that ends the process or the connection,
// and against errors of methods that are taken for calls without a response.
// Fails without the recovery, and if a second connection is opened while the
// first one is not busy.
func TestMethodFailures(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	var panicked atomic.Value
	s, _ := serve(t, ln, ServerOptions{OnPanic: func(m string, v any, stack []byte) { panicked.Store(m) }})
	p := pool(t, ln.Addr().String(), PoolOptions{})
	for _, m := range []string{"Echo.Panic", "Echo.Fail", "Echo.Missing", "nonsense"} {
		var out Text
		err := p.Call(context.Background(), "a", m, Text{"x"}, &out)
		if err == nil || errors.Is(err, ErrUnreachable) {
			t.Errorf("%s: %v, want an error from the other instance", m, err)
		}
	}
	if got, err := say(p, "x", time.Second); got != "x" || err != nil || p.Stats()["dials"] != 1 {
		t.Errorf("call after a panic: %q, %v, %d dials", got, err, p.Stats()["dials"])
	}
	if s.Stats()["panics"] != 1 || panicked.Load() != "Echo.Panic" {
		t.Errorf("panics: %d, reported %v", s.Stats()["panics"], panicked.Load())
	}
}

// Guards against calls that outlast their deadline on a connection without
// responses, and against using that connection again although a new one works.
// Fails if the connection is not retired, or if calls ignore their deadline.
func TestSilentConnection(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, ServerOptions{})
	var dials atomic.Int64
	p := pool(t, ln.Addr().String(), PoolOptions{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if dials.Add(1) == 1 {
			conn, other := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, other) }()
			return conn, nil
		}
		return dialTCP(ctx, a)
	}})
	start := time.Now()
	_, err := say(p, "x", 100*time.Millisecond)
	if !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotSent) || time.Since(start) > time.Second {
		t.Errorf("call on the silent connection: %v after %v", err, time.Since(start))
	}
	if got, err := say(p, "y", time.Second); got != "y" || err != nil {
		t.Errorf("call after the timeout: %q, %v", got, err)
	}
}

// Guards against calls that outlast their deadlines because the other side does
// not read and a write blocks. Fails if messages are written by the calling
// goroutine.
func TestBlockedWrite(t *testing.T) {
	p := pool(t, "127.0.0.1:1", PoolOptions{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
		conn, _ := net.Pipe()
		return conn, nil
	}})
	var wg sync.WaitGroup
	start := time.Now()
	for range 10 {
		wg.Go(func() {
			if _, err := say(p, "x", 100*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got %v, want the deadline", err)
			}
		})
	}
	wg.Wait()
	if d := time.Since(start); d > time.Second {
		t.Errorf("calls took %v", d)
	}
}

// Guards against a pool that does not recover when the other process was
// replaced, that dials an address where nothing listens without backoff, or that
// reports a call as possibly executed although it was not sent. Fails without
// backoff, or without ErrNotSent.
func TestServerReplaced(t *testing.T) {
	port, err := freeport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer port.Release()
	addr := port.Loopback().String()
	s, _ := serve(t, listen(t, addr), ServerOptions{})
	p := pool(t, addr, PoolOptions{})
	if _, err := say(p, "x", time.Second); err != nil {
		t.Fatal(err)
	}
	s.Close()
	waitFor(t, "call reported as not sent", func() bool {
		_, err := say(p, "x", time.Second)
		return errors.Is(err, ErrNotSent)
	})
	before := p.Stats()["dials"]
	for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); {
		if _, err := say(p, "x", time.Second); !errors.Is(err, ErrNotSent) {
			t.Fatalf("call without a server: %v", err)
		}
	}
	if n := p.Stats()["dials"] - before; n > 10 {
		t.Errorf("%d dials in 200 ms, want backoff", n)
	}
	serve(t, listen(t, addr), ServerOptions{})
	waitFor(t, "call answered by the new server", func() bool {
		_, err := say(p, "x", time.Second)
		return err == nil
	})
}

// Guards against more connections or more calls in flight than allowed, and
// against a pool that dials without backoff while the server is at its
// connection limit. Fails without either limit, or without backoff after
// connections that are closed at once.
func TestConnectionAndCallLimits(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	s, _ := serve(t, ln, ServerOptions{MaxConns: 1})
	p := pool(t, ln.Addr().String(), PoolOptions{MaxCallsPerPeer: 3})
	var wg sync.WaitGroup
	var refused, done atomic.Int64
	for range 10 {
		wg.Go(func() {
			var out Text
			err := p.Call(context.Background(), "a", "Echo.Wait", &Waiting{For: 300 * time.Millisecond}, &out)
			if errors.Is(err, ErrNotSent) {
				refused.Add(1)
			} else if err == nil {
				done.Add(1)
			}
		})
	}
	wg.Wait()
	if refused.Load() != 7 || done.Load() != 3 {
		t.Errorf("%d refused and %d done, want 7 and 3", refused.Load(), done.Load())
	}
	q := pool(t, ln.Addr().String(), PoolOptions{})
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		if _, err := say(q, "x", time.Second); err == nil {
			t.Fatal("connection over the limit was served")
		}
	}
	if n := q.Stats()["dials"]; n > 8 || s.Stats()["connections_open"] != 1 {
		t.Errorf("%d dials to a server at its connection limit, %d connections", n, s.Stats()["connections_open"])
	}
}

// Guards against keeping memory for each instance that was ever called, and
// against removing an instance that is in use. Fails without removeUnused, and
// if that removes instances in use.
func TestRemovesUnusedPeers(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	serve(t, ln, ServerOptions{})
	a := netip.MustParseAddrPort(ln.Addr().String())
	p := NewPool(func(id model.InstanceID) (netip.AddrPort, bool) { return a, id == "a" }, PoolOptions{})
	defer p.Close()
	if _, err := say(p, "x", time.Second); err != nil {
		t.Fatal(err)
	}
	for i := range 10 * maxIdlePeers {
		_ = p.Call(context.Background(), model.InstanceID(fmt.Sprint(i)), "Echo.Say", Text{}, &Text{})
	}
	if _, err := say(p, "x", time.Second); err != nil || len(p.peers) > maxIdlePeers || p.Stats()["dials"] != 1 {
		t.Errorf("%v, %d instances known, %d dials", err, len(p.peers), p.Stats()["dials"])
	}
}

// Guards against methods that keep running after the deadline of their caller,
// and against losing the caller's trace context. Fails without the deadline or
// the trace context in the request header.
func TestCallContext(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	_, e := serve(t, ln, ServerOptions{})
	p := pool(t, ln.Addr().String(), PoolOptions{})
	id := trace.TraceID{1, 2, 3}
	sc := trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: trace.SpanID{4}, TraceFlags: trace.FlagsSampled})
	var out Text
	if err := p.Call(trace.ContextWithSpanContext(context.Background(), sc), "a", "Echo.Trace", &Waiting{}, &out); err != nil || out.S != id.String() {
		t.Errorf("trace %q, %v, want %v", out.S, err, id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() { _, _ = say(p, "x", time.Second) })
	_ = p.Call(ctx, "a", "Echo.Wait", &Waiting{For: time.Hour}, &out)
	// The other call keeps the connection open, because closing it would end
	// the method as well.
	waitFor(t, "end of the method at its deadline", func() bool { return e.ended.Load() == 1 })
	if p.Stats()["connections_silent"] != 0 {
		t.Error("the connection was counted as silent")
	}
}

func BenchmarkCall(b *testing.B) {
	ln := listen(b, "127.0.0.1:0")
	serve(b, ln, ServerOptions{})
	p := pool(b, ln.Addr().String(), PoolOptions{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := say(p, "x", time.Second); err != nil {
			b.Fatal(err)
		}
	}
}
