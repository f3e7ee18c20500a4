package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Guards against a demo that fails on a fresh machine, hides a violated
// invariant, or writes invalid JSON. test.sh also runs it under the race
// detector: a graceful shutdown once used the random generator of the capacity
// driver concurrently with the driver's loop.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	report, err := Run(ctx, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Violations {
		t.Error(b)
	}
	var b bytes.Buffer
	if err := report.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	var read struct {
		Rows []Row `json:"rows"`
	}
	if err := json.Unmarshal(b.Bytes(), &read); err != nil {
		t.Fatal(err)
	}
	if want := len(phases) * len(model.Priorities); len(read.Rows) != want {
		t.Errorf("%d rows, want %d", len(read.Rows), want)
	}
	for _, r := range read.Rows {
		if r.Sent == 0 || r.Sent != r.Answered+r.NotRun+r.Unknown {
			t.Errorf("answered, not run and unknown do not add up to sent: %+v", r)
		}
	}
}
