package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/boottime"
)

// Follower keeps a Copy up to date with its Source.
type Follower struct {
	Copy   *Copy
	Source Source
	// Active reports whether this process should watch the source. A process that
	// should not gets the changes from one that does, and calls the source only
	// while its copy is empty.
	Active func() bool
	// WatchTimeout bounds one Watch call.
	WatchTimeout time.Duration
	// VerifyInterval is the time between two comparisons of the position of the
	// source with that of the copy while a watch waits.
	VerifyInterval time.Duration
	// BatchDelay is the pause after a watch that returned changes, so that a
	// series of changes takes few calls.
	BatchDelay time.Duration
	// RetryMin and RetryMax bound the pause after a failed call, which doubles
	// with each consecutive failure.
	RetryMin, RetryMax time.Duration
	// OnUnavailable and OnAvailable are called when the source becomes
	// unavailable to this process and available again. OnAvailable is called before
	// the missed changes are applied; outage is the time since the source last
	// responded to any process, as far as this one knows.
	OnUnavailable func(error)
	OnAvailable   func(outage time.Duration)
	// OnOutageEnd is called once it is known that the source responds again, to this
	// process or another one: with the times of the last response to any of them
	// before calls of this process failed, and of the first one after. It is called
	// before changes that this process has got from the source itself are applied. It
	// may be nil.
	OnOutageEnd func(from, to time.Time)
	// OnCompacted is called when the source no longer has the history after the
	// position of the copy.
	OnCompacted func(at Position)
	// OnRestored is called with the positions of the copy and of the source before
	// the copy is replaced by a listing of a later era.
	OnRestored func(copied, source Position)
	// Observer is told what the source has responded, unless it is nil.
	Observer Observer

	listed bool
	// lost is set from a failed call until a successful one.
	lost   bool
	outage outage
	eras   eras
}

// outage is a time in which a source is not known to respond to any process. It
// begins only with a failed call: a process that makes none knows nothing of the
// source but what others show of it.
type outage struct {
	// from is when the source last responded. It is zero if there is no outage.
	from time.Time
	// at is the position of the copy at that time.
	at Position
	// failedAt is when the last failed call ended.
	failedAt time.Time
}

// Observer is told what a source has responded once the copy contains it and its
// changes were passed on. started is the time at which the call started, on the clock
// of boottime.
type Observer interface {
	// Listed is called after a listing up to a position.
	Listed(at Position, started time.Duration)
	// Watched is called after a watch that returned every change after a position up
	// to another one. The copy may have had some of them from another process.
	Watched(after, at Position, started time.Duration)
	// Verified is called after a comparison of positions that found no change
	// missing.
	Verified(at Position, started time.Duration)
}

// inactivePollInterval is the time between two calls of Active while it is false.
const inactivePollInterval = 50 * time.Millisecond

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := f.RetryMin
	for ctx.Err() == nil {
		if f.Copy.Loaded() && !f.Active() {
			f.Copy.setWatching(false)
			f.noteResponsesToOthers()
			f.listed = true // The others complete the copy.
			sleep(ctx, inactivePollInterval)
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
		f.callFailed(time.Now())
		if !f.lost {
			f.lost = true
			f.OnUnavailable(err)
		}
		sleep(ctx, pause)
		f.noteResponsesToOthers()
		pause = min(2*pause, f.RetryMax)
	}
}

// callFailed records a failed call, with which an outage begins unless there is one.
func (f *Follower) callFailed(now time.Time) {
	if f.outage.from.IsZero() {
		if f.outage.from = f.Copy.lastKnownResponse(); f.outage.from.IsZero() {
			f.outage.from = now
		}
		f.outage.at, _ = f.Copy.Position(now)
	}
	f.outage.failedAt = now
}

// noteResponsesToOthers ends an outage if the source has responded to another process since the
// last failed call, and returns its length. An outage begins no earlier than the last
// response to another process before that call. If the copy got a change from another
// process that does not tell when the source responded, it was just now.
func (f *Follower) noteResponsesToOthers() time.Duration {
	if f.outage.from.IsZero() {
		return 0
	}
	last := f.Copy.lastKnownResponse()
	if last.After(f.outage.failedAt) {
		return f.endOutage(last)
	}
	told := last.After(f.outage.from)
	if told {
		f.outage.from = last
	}
	now := time.Now()
	if at, _ := f.Copy.Position(now); f.outage.at.Before(at) {
		f.outage.at = at
		if !told {
			f.outage.from = now
		}
	}
	return 0
}

// endOutage ends the outage, if there is one, with a response at a time. It returns
// the length of the outage.
func (f *Follower) endOutage(at time.Time) time.Duration {
	from := f.outage.from
	if from.IsZero() {
		return 0
	}
	f.outage = outage{}
	if f.OnOutageEnd != nil {
		f.OnOutageEnd(from, at)
	}
	return at.Sub(from)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step lists or watches the source once.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return errors.Trace(f.list(ctx))
	}
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !f.lost {
		f.Copy.setWatching(true)
	}
	v := &verifier{follower: f, eras: f.eras, cancel: cancel}
	go v.run(watch)
	started, startedBoot := time.Now(), boottime.Now()
	after, _ := f.Copy.Position(started)
	events, at, err := f.Source.Watch(watch, after, f.watchTimeout())
	at = f.eras.translate(at)
	cancel(nil)
	switch {
	case errors.Is(err, ErrCompacted):
		if at.Era == after.Era {
			f.OnCompacted(after)
		}
		f.listed = false
		return nil
	case v.missedChanges.Load():
		f.listed = false
		return nil
	case err != nil && errors.Is(context.Cause(watch), errInactive):
		return nil
	case err != nil:
		return errors.Trace(err)
	}
	f.sourceResponded()
	if len(events) == 0 {
		// The verifier can notice changes that are missing in the response only if
		// the copy stays before them.
		at.Revision = after.Revision
	}
	if !f.Copy.Apply("", events, at) {
		f.listed = false
		return nil
	}
	if len(events) > 0 {
		f.Copy.Confirm(at, started)
		if f.Observer != nil {
			f.Observer.Watched(after, at, startedBoot)
		}
		sleep(ctx, f.BatchDelay)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	startedAt, startedBoot := time.Now(), boottime.Now()
	started, _ := f.Copy.Position(startedAt)
	items, at, err := f.Source.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	before, _ := f.Copy.Position(time.Now())
	at, ok := f.eras.listed(at, started, before, time.Now())
	if !ok {
		return errors.Annotatef(errEarlierEra, "era %d, copy in era %d", at.Era, before.Era)
	}
	f.sourceResponded()
	if at.Era > before.Era && f.Copy.Loaded() {
		f.OnRestored(before, at)
	}
	replaced := f.Copy.Replace("", items, at)
	f.Copy.Confirm(at, startedAt)
	if replaced && f.Observer != nil {
		f.Observer.Listed(at, startedBoot)
	}
	f.listed = true
	return nil
}

// errEarlierEra means that a listing is of an earlier era than the copy, and may
// have been delayed.
const errEarlierEra = errors.ConstError("listing of an earlier era")

// unavailableWatchTimeout bounds a Watch call after a failure. It is short
// because only the end of the call shows that the source is available again.
const unavailableWatchTimeout = 200 * time.Millisecond

func (f *Follower) watchTimeout() time.Duration {
	if f.lost {
		return unavailableWatchTimeout
	}
	return f.WatchTimeout
}

// sourceResponded records a response of the source, and the end of an outage if
// there was one.
func (f *Follower) sourceResponded() {
	outage := f.noteResponsesToOthers()
	f.Copy.recordResponse()
	outage = max(outage, f.endOutage(time.Now()))
	if f.lost {
		f.lost = false
		f.OnAvailable(outage)
	}
}

// errInactive is the cause with which a watch is cancelled once another process
// watches the source.
const errInactive = errors.ConstError("another instance watches")

// verifier compares the position of the source with that of the copy while a
// watch waits.
type verifier struct {
	follower *Follower
	eras     eras
	cancel   context.CancelCauseFunc
	// missedChanges is set if the watch has not delivered changes in time, or if
	// the source has been restored.
	missedChanges atomic.Bool
}

// deliveryTime is how long a watch may take to deliver a change after the
// source has reported its revision.
const deliveryTime = 150 * time.Millisecond

// run cancels the watch if it misses changes, if the source does not respond, or
// if this process should no longer watch. The first comparison is made at once if the
// last one was too long ago.
func (v *verifier) run(ctx context.Context) {
	pause := max(v.follower.VerifyInterval-v.follower.Copy.Age(time.Now()), 0)
	for {
		sleep(ctx, pause)
		pause = v.follower.VerifyInterval
		if ctx.Err() != nil {
			return
		}
		if !v.follower.Active() {
			v.cancel(errInactive)
			return
		}
		started, startedBoot := time.Now(), boottime.Now()
		now, err := v.follower.Source.Position(ctx)
		if err != nil {
			v.cancel(err)
			return
		}
		now = v.eras.translate(now)
		v.follower.Copy.recordResponse()
		if !v.reached(now) && !v.restored(now) {
			sleep(ctx, deliveryTime)
		}
		if ctx.Err() == nil && !v.reached(now) {
			v.missedChanges.Store(true)
			v.cancel(nil)
			return
		}
		v.follower.Copy.Confirm(now, started)
		if o := v.follower.Observer; o != nil && ctx.Err() == nil {
			o.Verified(now, startedBoot)
		}
	}
}

func (v *verifier) reached(p Position) bool {
	at, _ := v.follower.Copy.Position(time.Now())
	return !at.Before(p)
}

// restored reports whether a position is of a later era than the copy.
func (v *verifier) restored(p Position) bool {
	at, _ := v.follower.Copy.Position(time.Now())
	return p.Era > at.Era
}
