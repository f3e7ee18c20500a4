package configsync

import (
	"context"
	"testing"
	"time"
)

// Guards against an edit right after the start of a fleet that is refused because
// most relays have not read the rules yet.
func TestEditAwaitsStartingRelays(t *testing.T) {
	editors := newEditors(6, newMemoryStore())
	for _, e := range editors[1:] {
		e.State.setSynced(false)
	}
	time.AfterFunc(30*time.Millisecond, func() {
		for _, e := range editors {
			e.State.setSynced(true)
		}
	})
	failures := 0
	editors[0].delay = func(ctx context.Context, n int) error {
		failures++
		time.Sleep(20 * time.Millisecond)
		return ctx.Err()
	}
	r := Request{Text: baseText, Author: "operator", EditID: "e1"}
	if res := editors[0].Edit(t.Context(), r); res.Outcome == Unavailable || failures == 0 {
		t.Errorf("outcome %s (%s) after %d pauses", res.Outcome, res.Detail, failures)
	}
	for _, e := range editors[1:] {
		e.State.setSynced(false)
	}
	failures = 0
	if res := editors[0].Edit(t.Context(), Request{Text: baseText + lineOf("e2"), Author: "operator", EditID: "e2", Base: 1}); res.Outcome != Unavailable || failures != maxRelayQueries-1 {
		t.Errorf("outcome %s after %d pauses although most relays do not respond", res.Outcome, failures)
	}
}
