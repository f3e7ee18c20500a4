package serve

import (
	"context"
	"expvar"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
)

// Whatever desired state the position of this instance's copy covers, the instance has
// considered it or knows that it lacks it. In the latter case the state is missing. It is
// for some milliseconds after each change, until it has been fetched. It stays missing if
// the instances that had it are lost before that.

const (
	// missingTick is the time between two checks whether a state is missing.
	missingTick = 50 * time.Millisecond
	// missingNotice is how long a state is missing until that is logged.
	missingNotice = 400 * time.Millisecond
)

// missingState is what is known of a desired state that this instance lacks. It is safe
// for concurrent use.
type missingState struct {
	mu sync.Mutex
	// since is when a state was first found to be missing, or zero if none is.
	since time.Time
	// noticed is set once that is logged.
	noticed bool

	count expvar.Int
}

// missingPosition returns the position of the last change of a desired state if this instance
// lacks that state.
func (in *Instance) missingPosition() (mirror.Position, bool) {
	known := in.copy.OutOfBandAt()
	return known, in.states.held().Before(known)
}

// repairState observes whether a desired state is missing until the context ends.
func (in *Instance) repairState(ctx context.Context) {
	ticker := time.NewTicker(missingTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		in.noteMissing(time.Now())
	}
}

// noteMissing records and logs whether a desired state is missing. It returns for how
// long that has been so.
func (in *Instance) noteMissing(now time.Time) time.Duration {
	m := &in.missing
	known, missing := in.missingPosition()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !missing {
		if m.noticed {
			in.log.Log(events.DesiredStateFound).Uint64("in_force", uint64(in.desiredVersion())).
				Dur("missing_ms", now.Sub(m.since)).EmbedObject(known).Send()
		}
		m.since, m.noticed = time.Time{}, false
		return 0
	}
	if m.since.IsZero() {
		m.since = now
	}
	if now.Sub(m.since) >= missingNotice && !m.noticed {
		m.noticed = true
		m.count.Add(1)
		in.log.Log(events.DesiredStateMissing).EmbedObject(known).Object("held", in.states.held()).
			Uint64("in_force", uint64(in.desiredVersion())).Send()
	}
	return now.Sub(m.since)
}

// vars returns the metrics: the revisions of the last change of the desired state that is
// known and of the last one that was considered, for how long one has been missing in
// milliseconds, and how often one was for longer than missingNotice.
func (m *missingState) vars(in *Instance, now time.Time) map[string]any {
	known, missing := in.missingPosition()
	m.mu.Lock()
	defer m.mu.Unlock()
	age := time.Duration(0)
	if missing && !m.since.IsZero() {
		age = now.Sub(m.since)
	}
	return map[string]any{"known_revision": known.Revision, "held_revision": in.states.held().Revision, "missing": missing,
		"missing_ms": age.Milliseconds(), "count": m.count.Value()}
}
