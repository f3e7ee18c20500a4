package serve

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
)

// Whatever desired state the position of this instance's copy covers, the instance has
// considered it or knows that it lacks it. In the latter case the state is missing. It is
// for some milliseconds after each change, until it has been fetched from an instance that
// has it. If there is none any more, it is read from the store: by the instance that
// watches the store first, so that the others can fetch it from there.

const (
	// missingTick is the time between two checks whether a state is missing.
	missingTick = 50 * time.Millisecond
	// missingNotice is how long a state is missing until that is logged.
	missingNotice = 400 * time.Millisecond
	// askWait is how long a state is missing until other instances are asked for it
	// although none is known to have a newer version, and askInterval the time between
	// two rounds. A round asks maxAsked instances and takes at most askTimeout.
	askWait     = 150 * time.Millisecond
	askInterval = 250 * time.Millisecond
	maxAsked    = 2
	askTimeout  = 400 * time.Millisecond
	// readWait is how long a state is missing until it is read from the store.
	// sourcedReadWait replaces it while it can be fetched from another instance, which
	// takes longer over a slow link. After either there is time left to read a state
	// within the 2.5 s in which it has to be in force.
	readWait        = 400 * time.Millisecond
	sourcedReadWait = 1200 * time.Millisecond
	// readSpacing is the shortest mean time between the reads of two instances that do not
	// watch the store and lack the same state.
	readSpacing = 10 * time.Millisecond
	// readPauseMin and readPauseMax bound the mean pause after a read. It doubles with each
	// one, but for instances that watch the store.
	readPauseMin = 500 * time.Millisecond
	readPauseMax = 8 * time.Second
)

// missingState is what is known of a desired state that this instance lacks. It is safe
// for concurrent use.
type missingState struct {
	mu sync.Mutex
	// since is when a state was first found to be missing, or zero if none is. stalledSince
	// is when this instance has last considered a newer state since then.
	since, stalledSince time.Time
	// heldAt is the position up to which it had considered states at stalledSince.
	heldAt mirror.Position
	// logged is set once the missing state is logged.
	logged bool

	count, reads expvar.Int
}

// missingPosition returns the position of the last change of the desired state, and
// whether this instance lacks that state.
func (in *Instance) missingPosition() (mirror.Position, bool) {
	known := in.copy.OutOfBandAt()
	return known, in.states.held().Before(known)
}

// repairState obtains desired states that are missing until the context ends.
func (in *Instance) repairState(ctx context.Context) {
	ticker := time.NewTicker(missingTick)
	defer ticker.Stop()
	r := stateRepair{in: in}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if stalled := in.noteMissing(now); stalled > 0 {
			r.step(ctx, stalled, now)
		} else {
			r = stateRepair{in: in}
		}
	}
}

// noteMissing records and logs whether a desired state is missing. It returns for how
// long one has been and none has arrived, or 0 if none is missing.
func (in *Instance) noteMissing(now time.Time) time.Duration {
	m := &in.missing
	known, missing := in.missingPosition()
	held := in.states.held()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !missing {
		if m.logged {
			in.log.Log(events.DesiredStateFound).Uint64("in_force", uint64(in.desiredVersion())).
				Dur("missing_ms", now.Sub(m.since)).EmbedObject(known).Send()
		}
		m.since, m.logged = time.Time{}, false
		return 0
	}
	if m.since.IsZero() {
		m.since, m.stalledSince, m.heldAt = now, now, held
	}
	if m.heldAt != held {
		m.stalledSince, m.heldAt = now, held
	}
	if now.Sub(m.stalledSince) >= missingNotice && !m.logged {
		m.logged = true
		m.count.Add(1)
		in.log.Log(events.DesiredStateMissing).EmbedObject(known).Object("held", held).
			Uint64("in_force", uint64(in.desiredVersion())).Send()
	}
	return max(now.Sub(m.stalledSince), 1)
}

// stateRepair is the state of repairState for a desired state that is missing. Only its
// goroutine uses it.
type stateRepair struct {
	in *Instance
	// delay is added to the wait for the first read.
	delay time.Duration
	// nextAsk and nextRead are the earliest times of the next round of questions and of
	// the next read.
	nextAsk, nextRead time.Time
	// pause is the mean pause after the last read, or 0 if there was none.
	pause time.Duration
}

// step asks other instances for the state, or reads it from the store, if one of these is
// due. stalled is for how long the state has been missing.
func (r *stateRepair) step(ctx context.Context, stalled time.Duration, now time.Time) {
	in := r.in
	if r.delay == 0 {
		r.delay = rand.N(in.readSpread())
	}
	sourced := in.hasStateSource(now)
	if !sourced && stalled >= askWait && !now.Before(r.nextAsk) {
		r.nextAsk = now.Add(askInterval)
		in.askForState(ctx)
	}
	if _, missing := in.missingPosition(); missing && stalled >= r.wait(sourced) && !now.Before(r.nextRead) {
		r.read(ctx)
	}
}

// wait returns how long a state has to be missing until this instance reads it. sourced
// means that another instance is known to have it.
func (r *stateRepair) wait(sourced bool) time.Duration {
	switch {
	case r.in.following.Load():
		return readWait
	case sourced:
		return sourcedReadWait + r.delay
	}
	return readWait + r.delay
}

// read reads the state from the store.
func (r *stateRepair) read(ctx context.Context) {
	in := r.in
	in.missing.reads.Add(1)
	if _, err := in.readDesired(ctx); err != nil {
		in.log.Log(events.DesiredStateNotRead).Err(err).Send()
	}
	r.pause = max(readPauseMin, min(2*r.pause, readPauseMax), in.readSpread())
	if in.following.Load() {
		r.pause = readPauseMin
	}
	r.nextRead = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(r.pause)))
}

// readSpread is the time over which all instances are to read the store once.
func (in *Instance) readSpread() time.Duration {
	return time.Duration(in.instanceCount()) * readSpacing
}

// hasStateSource reports whether the fetcher of desired states can get a newer one from
// another instance.
func (in *Instance) hasStateSource(now time.Time) bool {
	near, far := in.members.Ahead(in.presence(), hasNewerState)
	return slices.ContainsFunc(append(near, far...), func(p fleet.Presence) bool { return !in.failedSources.has(p.ID, now) })
}

func hasNewerState(o, self fleet.Presence) bool { return self.Desired < o.Desired }

// askForState asks other instances whose copies cover the missing state, those that watch
// the store first. Their answers show that the state in force is the newest valid one, if
// it was written again without a newer version or is invalid.
func (in *Instance) askForState(ctx context.Context) {
	known, _ := in.missingPosition()
	near, far := in.members.Ahead(in.presence(), func(o, _ fleet.Presence) bool { return !o.Position.Before(known) })
	peers := append(near, far...)
	slices.SortStableFunc(peers, func(a, b fleet.Presence) int { return rankAsSource(a) - rankAsSource(b) })
	var ids []model.InstanceID
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	ids = in.failedSources.last(ids, time.Now())
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	in.fetchFromAny(ctx, ids[:min(len(ids), maxAsked)], in.fetchDesired)
}

func rankAsSource(p fleet.Presence) int {
	if p.Watching {
		return 0
	}
	return 1
}

// vars returns the metrics: the revisions of the last change of the desired state that is
// known and of the last one that was considered, for how long one has been missing in
// milliseconds, how often one was for longer than missingNotice, and the reads of the
// store.
func (m *missingState) vars(in *Instance, now time.Time) map[string]any {
	known, missing := in.missingPosition()
	m.mu.Lock()
	defer m.mu.Unlock()
	age := time.Duration(0)
	if missing && !m.since.IsZero() {
		age = now.Sub(m.since)
	}
	return map[string]any{"known_revision": known.Revision, "held_revision": in.states.held().Revision, "missing": missing,
		"missing_ms": age.Milliseconds(), "count": m.count.Value(), "store_reads": m.reads.Value()}
}
