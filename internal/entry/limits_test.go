package entry

import (
	"context"
	"strings"
	"testing"
)

// Guards against a handler that ignores MaxBodyBytes or accepts requests before
// Ready returns true.
func TestLimits(t *testing.T) {
	h, l := newTestHandler(echo)
	h.cfg.MaxBodyBytes = 10
	if r := do(h, "POST", "/v1/services/entries/", strings.Repeat("b", 11), KeyHeader, l.Prefix()+"big"); r.Code != 413 {
		t.Errorf("body over the limit: status %d", r.Code)
	}
	if r := do(h, "POST", "/v1/services/entries/", "small", KeyHeader, l.Prefix()+"small"); r.Code != 201 {
		t.Errorf("body within the limit: status %d", r.Code)
	}
	h.cfg.Ready = func() bool { return false }
	if r := do(h, "GET", "/v1/services/entries/", ""); r.Code != 503 || r.Header().Get(OutcomeHeader) != "not-run" {
		t.Errorf("not ready: status %d, outcome %s", r.Code, r.Header().Get(OutcomeHeader))
	}
}

// Guards against a handler that accepts more concurrent requests than MaxInFlight.
func TestMaxInFlight(t *testing.T) {
	release, running := make(chan struct{}), make(chan struct{})
	h, _ := newTestHandler(func(ctx context.Context, r *Request, c Claim) Result {
		close(running)
		<-release
		return echo(ctx, r, c)
	})
	h.cfg.MaxInFlight = 1
	done := make(chan int)
	go func() { done <- do(h, "GET", "/v1/services/entries/", "").Code }()
	<-running
	if r := do(h, "GET", "/v1/services/entries/", ""); r.Code != 503 || r.Header().Get(OutcomeHeader) != "not-run" {
		t.Errorf("second request: status %d, outcome %s", r.Code, r.Header().Get(OutcomeHeader))
	}
	close(release)
	if code := <-done; code != 201 {
		t.Errorf("first request: status %d", code)
	}
}
