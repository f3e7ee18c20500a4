package telemetry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
)

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// Guards against a hop that starts a trace of its own, or passes its parent's
// span on as its own.
func TestSpanContinuesTheCallersTrace(t *testing.T) {
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
		t.Errorf("passed on %q, want the trace of %q with a new span", got, parent)
	}
	if !strings.Contains(b.String(), `"Name":"entry"`) {
		t.Errorf("span not written: %s", b.String())
	}
}

// Guards against losing the caller's trace where this instance records none.
func TestNopPassesTheTraceOn(t *testing.T) {
	ctx, span := Nop().Start(Extract(context.Background(), http.Header{"Traceparent": {parent}}), "entry")
	defer span.End("", nil)
	out := http.Header{}
	Inject(ctx, out)
	if out.Get("Traceparent") != parent {
		t.Errorf("passed on %q", out.Get("Traceparent"))
	}
}
