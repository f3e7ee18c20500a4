package telemetry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
)

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// Guards against a hop that starts a new trace instead of continuing that of its
// caller, or that propagates its parent's span ID instead of its own.
func TestSpanContinuesCallerTrace(t *testing.T) {
	var b bytes.Buffer
	tr, err := New(&b, "lagos-a-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	in := http.Header{"Traceparent": {parent}}
	ctx, span := tr.Start(Extract(context.Background(), in), "entry")
	out := http.Header{}
	Inject(ctx, out)
	span.End("answered", nil)
	if err := tr.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	got := out.Get("Traceparent")
	if !strings.HasPrefix(got, parent[:36]) || got == parent {
		t.Errorf("propagated %q, want the trace of %q with a new span", got, parent)
	}
	if !strings.Contains(b.String(), `"Name":"entry"`) {
		t.Errorf("span not written: %s", b.String())
	}
}

// Guards against losing the caller's trace context in an instance that records
// no spans.
func TestNopPropagatesTraceContext(t *testing.T) {
	ctx, span := Nop().Start(Extract(context.Background(), http.Header{"Traceparent": {parent}}), "entry")
	defer span.End("", nil)
	out := http.Header{}
	Inject(ctx, out)
	if out.Get("Traceparent") != parent {
		t.Errorf("propagated %q", out.Get("Traceparent"))
	}
}
