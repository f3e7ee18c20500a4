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

// Guards against waiting requests that nobody wakes: after a release by
// another holder, a signal of the Router alone, the end of a held slot, and
// the end of the cap on traffic shifts, for which there is no signal.
func TestWaitersWake(t *testing.T) {
	const freeAt = 1010 * time.Millisecond // not when waiting requests poll
	ways := map[string]func(c *Controller, r *fakeRouter, p forward.Permit){
		"release":   func(_ *Controller, _ *fakeRouter, p forward.Permit) { p.Release() },
		"held slot": func(_ *Controller, _ *fakeRouter, p forward.Permit) { p.ReleaseAt(time.Now().Add(time.Second)) },
		"signal": func(_ *Controller, r *fakeRouter, _ forward.Permit) {
			fakeSlot{r}.Release()
		},
		"cap": func(_ *Controller, r *fakeRouter, _ forward.Permit) {
			r.mu.Lock()
			r.n++
			r.mu.Unlock()
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(1)
				r.err = ErrShiftCapped
				c := New(r)
				n := forward.AdmissionRequest{Service: "s", Priority: 1, Deadline: time.Now().Add(time.Hour)}
				p, err := c.Admit(t.Context(), n)
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(freeAt, func() { way(c, r, p) })
				begin := time.Now()
				p2, err := c.Admit(t.Context(), n)
				more := map[string]time.Duration{"held slot": time.Second, "cap": pollPause}[name]
				if took := time.Since(begin); err != nil || took > freeAt+more {
					t.Fatalf("err %v after %v", err, took)
				}
				p2.Release()
			})
		})
	}
}

// Guards against callers that gave up but keep a place in the queue or a slot,
// and against a refusal without a reason.
func TestCancelledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(1)
		c := New(r)
		n := forward.AdmissionRequest{Service: "s", Priority: 2, Deadline: time.Now().Add(time.Hour)}
		p, _ := c.Admit(t.Context(), n)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := c.Admit(ctx, n)
		var refusal *forward.RefusalError
		if !errors.As(err, &refusal) || refusal.Reason != forward.ReasonCancelled {
			t.Fatalf("err %v", err)
		}
		p.Release()
		if _, err = c.Admit(ctx, n); err == nil {
			t.Error("admitted a request whose caller had given up")
		}
		if l := c.Load("s"); l.Waiting[normal] != 0 || l.InFlight[normal] != 0 || r.taken != 0 {
			t.Errorf("load %+v, %d slots taken", l, r.taken)
		}
	})
}

// Guards against a slow refusal: a request that waits is refused once it
// cannot finish any more, not at its deadline, and with the reason that the
// cap on traffic shifts keeps it back.
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
			t.Fatalf("err %v, refusal %+v", err, refusal)
		}
		if took := time.Since(begin); took >= 300*time.Millisecond {
			t.Errorf("refused after %v, want before the deadline", took)
		}
	})
}

// Guards against a hedge that takes a slot from a waiting request or from the
// reserve of a more urgent priority.
func TestTryAdmit(t *testing.T) {
	c := New(newRouter(4))
	n := forward.AdmissionRequest{Service: "s", Priority: 2, Deadline: time.Now().Add(time.Hour)}
	for i := range 4 {
		_, ok := c.TryAdmit(time.Now(), n)
		if ok != (i < 3) {
			t.Errorf("attempt %d: %v, want the 4th slot kept for priority 1", i, ok)
		}
	}
}

// Guards against minimum shares of unknown priorities, which would index past
// the queues.
func TestSetMinimum(t *testing.T) {
	c := New(newRouter(1))
	c.queue("s")
	c.SetMinimum(map[model.Priority]float64{0: 0.5, 3: 0.05, 9: 0.5})
	if m := c.queue("s").minimum; m != [numClasses]float64{0, 0, 0.05} {
		t.Errorf("minimum %v", m)
	}
}
