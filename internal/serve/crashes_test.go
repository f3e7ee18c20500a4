package serve_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/platform/standin"
)

// requests are served.
func TestCrashingRequest(t *testing.T) {
	w := newWorld(t, 3, 12)
	w.eventually("all instances know each other", func() bool {
		return len(w.lookup(w.instances[0], "a")) == 2 && len(w.lookup(w.instances[1], "b")) == 1
	})
	crashed := func() (n int) {
		for _, e := range w.endpoints {
			if e.Crashed() {
				n++
			}
		}
		return n
	}
	for i := range 30 {
		w.sendBody(w.instances[i%3], "POST", "/pay/crash", "boom")
		time.Sleep(100 * time.Millisecond)
	}
	if n := crashed(); n < 3 || n > 4 {
		t.Errorf("%d endpoints crashed, want 3 and at most one more in flight", n)
	}
	if !strings.Contains(w.logs.String(), fmt.Sprintf(`"event":%d`, events.Quarantined.Number)) {
		t.Error("no line of the quarantine")
	}
	for i := range 20 {
		if _, code, body := w.send(w.instances[i%3], "POST", "/pay/x"); code != 200 {
			t.Errorf("another request: status %d %s", code, body)
		}
	}
}

// served again and again.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	w := newWorld(t, 1, 3)
	for _, e := range w.endpoints {
		e.SetResponseFault(standin.TruncatedResponse)
	}
	for range 12 {
		w.sendBody(w.instances[0], "POST", "/pay/same", "same")
	}
	for _, e := range w.endpoints {
		e.SetResponseFault(standin.NoFault)
	}
	w.eventually("the request is served", func() bool { _, code, _ := w.sendBody(w.instances[0], "POST", "/pay/same", "same"); return code == 200 })
	if strings.Contains(w.logs.String(), fmt.Sprintf(`"event":%d`, events.EndpointCrashed.Number)) {
		t.Error("a lost answer counts as a crash")
	}
}
