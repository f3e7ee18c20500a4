package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Follower keeps a copy up to date.
type Follower struct {
	Copy   *Copy
	Source Source
	// Active reports whether this process watches the source; others take the
	// changes from those that do. The first listing is made in any case.
	Active func() bool
	// WatchTimeout is the longest time of one watch.
	WatchTimeout time.Duration
	// VerifyInterval is the time between two comparisons of revisions while a
	// watch waits.
	VerifyInterval time.Duration
	// BatchDelay is the pause after changes, so that a series of them takes few
	// calls.
	BatchDelay time.Duration
	// RetryMin and RetryMax bound the pause after a failed call, which doubles
	// with each failure.
	RetryMin, RetryMax time.Duration
	// OnUnavailable and Regained are told about the source's availability. Regained
	// comes before the changes that were missed; the outage counts from the
	// last answer.
	OnUnavailable func(error)
	OnAvailable   func(outage time.Duration)

	listed bool
	lostAt time.Time
}

// idlePause is the time between two looks whether to become active.
const idlePause = 100 * time.Millisecond

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := f.RetryMin
	for ctx.Err() == nil {
		if f.Copy.Loaded() && !f.Active() {
			f.Copy.setWatching(false)
			sleep(ctx, idlePause)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			pause = f.RetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Copy.setWatching(false)
		if f.lostAt.IsZero() {
			f.lostAt = f.Copy.lastAnswer(time.Now())
			f.OnUnavailable(err)
		}
		sleep(ctx, pause)
		pause = min(2*pause, f.RetryMax)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return errors.Trace(f.list(ctx))
	}
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.lostAt.IsZero() {
		f.Copy.setWatching(true)
	}
	checks := &checker{follower: f, cancel: cancel}
	go checks.run(watch)
	after, _ := f.Copy.Position(time.Now())
	events, at, err := f.Source.Watch(watch, after, f.wait())
	cancel(nil)
	switch {
	case checks.behind.Load(), errors.Is(err, ErrCompacted):
		f.listed = false
		return nil
	case err != nil && errors.Is(context.Cause(watch), errInactive):
		return nil
	case err != nil:
		return errors.Trace(err)
	}
	f.regained()
	f.Copy.Apply(events, at)
	if len(events) > 0 {
		sleep(ctx, f.BatchDelay)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	items, at, err := f.Source.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	f.regained()
	f.Copy.Replace(items, at)
	f.listed = true
	return nil
}

// probeWait is the longest watch after a failure, so that a regained source
// is noticed soon.
const probeWait = 200 * time.Millisecond

func (f *Follower) wait() time.Duration {
	if !f.lostAt.IsZero() {
		return probeWait
	}
	return f.WatchTimeout
}

func (f *Follower) regained() {
	f.Copy.answered()
	if !f.lostAt.IsZero() {
		f.OnAvailable(time.Since(f.lostAt))
		f.lostAt = time.Time{}
	}
}

// errInactive ends the watch of a process that need not watch any more.
const errInactive = errors.ConstError("another instance watches")

// checker compares revisions while a watch waits.
type checker struct {
	follower *Follower
	cancel   context.CancelCauseFunc
	// behind is set if the watch has missed changes.
	behind atomic.Bool
}

// settle is how long a watch may take to deliver a change that a comparison
// has shown.
const settle = 150 * time.Millisecond

// run ends the watch if it misses changes, if the source does not answer, or
// if it is not needed any more.
func (c *checker) run(ctx context.Context) {
	for {
		sleep(ctx, c.follower.VerifyInterval)
		if ctx.Err() != nil {
			return
		}
		if !c.follower.Active() {
			c.cancel(errInactive)
			return
		}
		now, err := c.follower.Source.Revision(ctx)
		if err != nil {
			c.cancel(err)
			return
		}
		c.follower.Copy.answered()
		if !c.reached(now) {
			sleep(ctx, settle)
		}
		if ctx.Err() == nil && !c.reached(now) {
			c.behind.Store(true)
			c.cancel(nil)
			return
		}
	}
}

func (c *checker) reached(r Revision) bool {
	at, _ := c.follower.Copy.Position(time.Now())
	return at >= r
}
