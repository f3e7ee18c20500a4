package forward_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
)

// stopSoon begins a shutdown that leaves less time than the requests of the tests have.
func (s *testServer) stopSoon(begun time.Duration) {
	now := time.Now()
	s.StopAt(now.Add(-begun), now.Add(200*time.Millisecond))
}

// Guards against a request that waits for a slot, is sent to an endpoint late in the
// grace period, and is cut when the process stops.
func TestWaitingRequestIsNotSentLateInAShutdown(t *testing.T) {
	finish := make(chan struct{})
	var s *testServer
	var stopping atomic.Bool
	var late atomic.Int64
	s = newTestServer(t, func(_ context.Context, _ int, _ exchange.Target, call *exchange.Call) exchange.Result {
		began := stopping.Load()
		if !call.Permitted() {
			return exchange.Result{Outcome: exchange.NotSent, Err: exchange.ErrNotPermitted}
		}
		if began {
			late.Add(1)
		}
		<-finish
		return ok("done")
	})
	var wg sync.WaitGroup
	for i := range 80 { // More than the endpoints run and queue.
		wg.Go(func() { s.send(t, "POST", "/pay/x", fmt.Sprint("r", i)) })
	}
	eventually(t, "requests wait", func() bool { return s.Waiting() > 0 })
	s.stopSoon(3 * time.Second)
	stopping.Store(true)
	close(finish)
	wg.Wait()
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests were sent to endpoints after the shutdown had begun", n)
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not so: " + what)
		}
	}
}

// Guards against a second attempt of a request that a shutdown cuts.
func TestRequestIsNotRepeatedLateInAShutdown(t *testing.T) {
	var s *testServer
	s = newTestServer(t, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result {
		s.stopSoon(3 * time.Second)
		return broken
	})
	resp, _ := s.send(t, "GET", "/safe/x", "r1")
	if sent := s.transport.count(); resp.StatusCode != 502 || sent != 1 {
		t.Errorf("status %d, sent %d times, want 502 and once", resp.StatusCode, sent)
	}
}

// Guards against a request that is sent although a shutdown has begun while its
// connection was being opened.
func TestShutdownWhileAConnectionIsOpened(t *testing.T) {
	var s *testServer
	s = newTestServer(t, func(_ context.Context, _ int, _ exchange.Target, call *exchange.Call) exchange.Result {
		s.stopSoon(3 * time.Second)
		if call.Permitted() {
			return ok("sent")
		}
		return exchange.Result{Outcome: exchange.NotSent, Err: exchange.ErrNotPermitted}
	})
	if resp, body := s.send(t, "POST", "/pay/x", "r1"); resp.StatusCode != 503 {
		t.Errorf("status %d %s, want 503", resp.StatusCode, body)
	}
}

// Guards against an estimate of how long requests take that is made from requests which
// ended early because their callers left or endpoints failed: a stopping process would
// take requests that it cannot finish.
func TestEndedEarlyIsNotMeasured(t *testing.T) {
	s := newTestServer(t, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return broken })
	for i := range 20 {
		s.send(t, "POST", "/pay/x", fmt.Sprint("r", i))
	}
	now := time.Now()
	s.StopAt(now, now.Add(300*time.Millisecond)) // Below the deadline of the route.
	sent := s.transport.count()
	if resp, _ := s.send(t, "POST", "/pay/x", "last"); resp.StatusCode != 503 || s.transport.count() != sent {
		t.Errorf("status %d, sent: %v", resp.StatusCode, s.transport.count() != sent)
	}
}
