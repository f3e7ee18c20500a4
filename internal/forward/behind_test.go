package forward_test

import (
	"context"
	"testing"

	"jujubestile.example/jujubestile/internal/exchange"
)

// Guards against requests to endpoints that may have left, sent by an instance that
// knows that it lacks changes, also if it learns that while a connection is opened.
func TestNothingIsSentWhileChangesAreMissing(t *testing.T) {
	var s *testServer
	during := false
	s = newTestServer(t, func(_ context.Context, _ int, _ exchange.Target, call *exchange.Call) exchange.Result {
		s.behind.Store(during)
		if call.Permitted() {
			return ok("sent")
		}
		return exchange.Result{Outcome: exchange.NotSent, Err: exchange.ErrNotPermitted}
	})
	if resp, body := s.send(t, "POST", "/pay/x", "r1"); resp.StatusCode != 200 {
		t.Errorf("status %d %s without missing changes", resp.StatusCode, body)
	}
	during = true
	if resp, body := s.send(t, "POST", "/pay/x", "r2"); resp.StatusCode != 503 {
		t.Errorf("status %d %s if changes are missing when the connection is open, want 503", resp.StatusCode, body)
	}
	sent := s.transport.count()
	for _, path := range []string{"/pay/x", "/safe/x"} {
		if resp, body := s.send(t, "GET", path, "r3"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d %s, want 503 with Retry-After", path, resp.StatusCode, body)
		}
	}
	if n := s.transport.count() - sent; n > 0 {
		t.Errorf("%d requests were sent while changes were missing", n)
	}
}
