package tenant

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
)

// All times in this file are readings of boottime.Now: a clock that also counts the
// time for which the machine was suspended.

const (
	// marginFraction of the revocation time is left for differences between the
	// clocks of instances, callers and the store, which are below 0.1 %.
	marginFraction = 0.02
	// restoreSettle is how long after this instance has noticed that the store was
	// restored from a copy the store itself proves nothing. Its writers write what
	// was lost again within 2 s.
	restoreSettle = 2500 * time.Millisecond
	// firstEra is the era of a store that was never restored, if it reports any.
	firstEra = 1
)

// LeaseDuration returns the length of the authorization lease for a revocation time.
func LeaseDuration(revoke time.Duration) time.Duration {
	return revoke - time.Duration(marginFraction*float64(revoke))
}

// Proof says that at a time the store had no desired state newer than a version, all
// of them up to a position of the store considered. The zero value proves nothing.
type Proof struct {
	At       time.Duration
	Version  desired.Version
	Position mirror.Position
	// Known distinguishes a proof from none.
	Known bool
}

// Lease is the authorization lease of an instance: its permission to judge API keys
// by its desired state. It ends by itself a fixed time after the last proof that no
// newer desired state existed. A time that counts for a proof is always that of the
// start of a call that this instance made, less the age that the response reported. The
// lease is safe for concurrent use.
//
// A copy of the store that other instances have supplied lacks desired states, which
// instances fetch apart. A position of the store therefore proves something only if this
// instance has seen every desired state up to it: from a listing, from watches without a
// gap since then, or from an instance that has.
type Lease struct {
	duration time.Duration

	mu    sync.Mutex
	proof Proof
	// inForce is the version of the desired state in force. unreadable is set while
	// the store has a state that cannot be read and may have removed keys.
	inForce    desired.Version
	unreadable bool
	// complete is the position up to which no desired state is newer than the one in
	// force. from and to are the ends of a span that was watched without a gap.
	complete, from, to mirror.Position
	// era is the latest era of the store, and unsettledUntil the time until which the
	// store proves nothing in it.
	era            model.Era
	unsettledUntil time.Duration
}

// NewLease returns a lease that ends a duration after the last proof.
func NewLease(duration time.Duration) *Lease { return &Lease{duration: duration} }

// Adopted records the version of the desired state in force. It ends
// what SetUnreadable has recorded.
func (l *Lease) Adopted(v desired.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce, l.unreadable = max(l.inForce, v), false
}

// SetUnreadable records whether the store has a desired state that cannot be read and
// may have removed keys.
func (l *Lease) SetUnreadable(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreadable = on
}

// Listed records that every desired state up to a position was read from the store
// with a call that started at a time.
func (l *Lease) Listed(at mirror.Position, started, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(at.Era, now)
	l.complete = later(l.complete, at)
	l.from, l.to = at, at
	l.proveByStore(at, started)
}

// Read records that the newest desired state at or after a position was read from the
// store with a call that started at a time.
func (l *Lease) Read(at mirror.Position, started, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(at.Era, now)
	l.complete = later(l.complete, at)
	l.joinSpan()
	l.proveByStore(at, started)
}

// Watched records that a watch which started at a time has returned every change after
// one position up to another one.
func (l *Lease) Watched(after, at mirror.Position, started time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after.Era != at.Era {
		return
	}
	if after.Era != l.to.Era || after.Before(l.from) || l.to.Before(after) {
		l.from, l.to = after, after
	}
	l.to = later(l.to, at)
	l.joinSpan()
	l.proveByStore(at, started)
}

// Verified records that the store was at a position, by a call that started at a time.
func (l *Lease) Verified(at mirror.Position, started time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proveByStore(at, started)
}

// Vouched records the proof of another instance, in which At is its age when it
// answered a call of this instance that started at a time. It reports false if the proof
// is about a newer desired state than the one in force.
func (l *Lease) Vouched(p Proof, started time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.Known || p.At < 0 {
		return true
	}
	if p.Version > l.inForce {
		return false
	}
	if p.Position.Era >= l.era {
		// The other instance has settled in the era and knows no newer state.
		l.era, l.unsettledUntil = p.Position.Era, 0
		l.complete = later(l.complete, p.Position)
		l.joinSpan()
	}
	l.renew(started-p.At, l.complete)
	return true
}

// enterEra begins a later era of the store, which has lost its last changes. A process
// that has just started cannot know what was lost in an earlier one either. The lock is
// held.
func (l *Lease) enterEra(era model.Era, now time.Duration) {
	if era <= l.era {
		return
	}
	l.era = era
	if era > firstEra || l.complete != (mirror.Position{}) {
		l.unsettledUntil = now + restoreSettle
	}
}

// joinSpan advances complete to the end of the watched span if it reaches its
// beginning. The lock is held.
func (l *Lease) joinSpan() {
	if l.complete.Era == l.from.Era && !l.complete.Before(l.from) {
		l.complete = later(l.complete, l.to)
	}
}

// proveByStore renews the lease if the store was at a position up to which the desired
// state in force is the newest. The lock is held.
func (l *Lease) proveByStore(at mirror.Position, started time.Duration) {
	if l.unreadable || at.Era != l.era || l.complete.Era != at.Era || l.complete.Before(at) || started < l.unsettledUntil {
		return
	}
	l.renew(started, at)
}

// renew replaces the proof by a later one. The lock is held.
func (l *Lease) renew(when time.Duration, at mirror.Position) {
	if !l.proof.Known || when > l.proof.At {
		l.proof = Proof{At: when, Version: l.inForce, Position: at, Known: true}
	}
}

// Holds reports whether keys may be judged by a version of the desired state now.
func (l *Lease) Holds(v desired.Version, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proof.Known && l.proof.Version <= v && now-l.proof.At < l.duration
}

// Proof returns the last proof with its age in place of the time, for another
// instance.
func (l *Lease) Proof(now time.Duration) Proof {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.proof
	p.At = now - p.At
	return p
}

func later(a, b mirror.Position) mirror.Position {
	if a.Before(b) {
		return b
	}
	return a
}
