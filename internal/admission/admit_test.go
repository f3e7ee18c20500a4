package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// TestWaitersWake guards against waiting requests that are not woken when a
// slot becomes free: by a release, by a deferred release, with only a signal of
// the Router, or by the end of the cap on traffic shifts, which sends no signal.
func TestWaitersWake(t *testing.T) {
	const freeAt = 1010 * time.Millisecond // not a multiple of the poll intervals
	wakeups := map[string]func(c *Controller, r *fakeRouter, p forward.Permit){
		"release":          func(_ *Controller, _ *fakeRouter, p forward.Permit) { p.Release() },
		"deferred release": func(_ *Controller, _ *fakeRouter, p forward.Permit) { p.ReleaseAt(time.Now().Add(time.Second)) },
		"signal": func(_ *Controller, r *fakeRouter, _ forward.Permit) {
			fakeSlot{r}.Release()
		},
		"cap": func(_ *Controller, r *fakeRouter, _ forward.Permit) {
			r.mu.Lock()
			r.n++
			r.mu.Unlock()
		},
	}
	for name, wakeup := range wakeups {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(1)
				r.err = ErrShiftCapped
				c := New(r)
				req := forward.AdmissionRequest{Service: "s", Priority: 1, Deadline: time.Now().Add(time.Hour)}
				p, err := c.Admit(t.Context(), req)
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(freeAt, func() { wakeup(c, r, p) })
				begin := time.Now()
				p2, err := c.Admit(t.Context(), req)
				allowance := map[string]time.Duration{"deferred release": time.Second, "cap": pollInterval}[name]
				if took := time.Since(begin); err != nil || took > freeAt+allowance {
					t.Fatalf("Admit returned %v after %v, want a permit when the slot becomes free", err, took)
				}
				p2.Release()
			})
		})
	}
}

// TestCancelledWaiter guards against callers that stopped waiting but keep a
// place in the queue or a slot, and against a refusal without a reason.
func TestCancelledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(1)
		c := New(r)
		req := forward.AdmissionRequest{Service: "s", Priority: 2, Deadline: time.Now().Add(time.Hour)}
		p, _ := c.Admit(t.Context(), req)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := c.Admit(ctx, req)
		var refusal *forward.RefusalError
		if !errors.As(err, &refusal) || refusal.Reason != forward.ReasonCancelled {
			t.Fatalf("Admit returned %v, want a refusal because the caller gave up", err)
		}
		p.Release()
		if _, err = c.Admit(ctx, req); err == nil {
			t.Error("admitted a request whose context had ended")
		}
		if l := c.Load("s"); l.Waiting[normal] != 0 || l.InFlight[normal] != 0 || r.taken != 0 {
			t.Errorf("load %+v, %d slots taken", l, r.taken)
		}
	})
}

// TestRefusedWhileWaiting guards against late refusals and wrong reasons: a
// waiting request is refused as soon as it can no longer finish in time, not
// only at its deadline. The reason is the cap on traffic shifts if that kept
// the request waiting.
func TestRefusedWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(1)
		r.err = ErrShiftCapped
		c := New(r)
		p, _ := c.Admit(t.Context(), forward.AdmissionRequest{Service: "s", Priority: 1, Deadline: time.Now().Add(time.Hour)})
		p.Answered(100 * time.Millisecond)
		begin := time.Now()
		_, err := c.Admit(t.Context(), forward.AdmissionRequest{Service: "s", Priority: 1, Deadline: begin.Add(300 * time.Millisecond)})
		var refusal *forward.RefusalError
		if !errors.As(err, &refusal) || refusal.Reason != forward.ReasonShiftCapped || refusal.RetryAfter < minRetryAfter {
			t.Fatalf("Admit returned %v with refusal %+v, want reason shift-capped and at least the minimum RetryAfter", err, refusal)
		}
		if took := time.Since(begin); took >= 300*time.Millisecond {
			t.Errorf("refused after %v, want before the deadline", took)
		}
	})
}

// TestTryAdmit guards against hedged requests that take a slot reserved for a
// more urgent priority.
func TestTryAdmit(t *testing.T) {
	c := New(newRouter(4))
	req := forward.AdmissionRequest{Service: "s", Priority: 2, Deadline: time.Now().Add(time.Hour)}
	for i := range 4 {
		_, ok := c.TryAdmit(time.Now(), req)
		if ok != (i < 3) {
			t.Errorf("request %d: admitted is %v, want the 4th slot reserved for priority 1", i, ok)
		}
	}
}

// TestSetMinimum guards against an index out of range for minimum shares of
// unknown priorities.
func TestSetMinimum(t *testing.T) {
	c := New(newRouter(1))
	c.queue("s")
	c.SetMinimum(map[model.Priority]float64{0: 0.5, 3: 0.05, 9: 0.5})
	if m := c.queue("s").minimum; m != [numClasses]float64{0, 0, 0.05} {
		t.Errorf("minimum %v", m)
	}
}
