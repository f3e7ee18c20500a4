package serve

import (
	"context"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// catchUpInterval is the time between two rounds of comparing positions with
	// other instances, if no message shows a later one sooner.
	catchUpInterval = 300 * time.Millisecond
	// watchDeliveryWait is how long an instance that watches the store itself
	// waits for its watch to deliver a change before it asks other instances.
	watchDeliveryWait = 300 * time.Millisecond
	// farFetchDelay is how long an instance that is behind waits for one of its
	// region to catch up before it asks those of other regions. The representatives
	// of failure domains do not wait.
	farFetchDelay = 300 * time.Millisecond
	// fetchTimeout bounds a round of calls.
	fetchTimeout = time.Second
	// nextSourceDelay is how long a call may take before the next instance is asked
	// as well. It is longer than two round trips between regions.
	nextSourceDelay = 200 * time.Millisecond
	// maxSources is how many instances one round asks at most.
	maxSources = 4
	// failedSourceTime is how long an instance that did not respond is asked after
	// all others.
	failedSourceTime = 3 * time.Second
)

// fetcher fetches one kind of data from other instances whenever one of them is
// ahead of this one.
type fetcher struct {
	// now starts a round without waiting for catchUpInterval.
	now chan struct{}
	// empty reports whether this instance has no such data yet.
	empty func() bool
	// ahead reports whether another instance has newer data than self.
	ahead func(other, self fleet.Presence) bool
	// fetch fetches newer data from an instance. It reports whether there was any.
	fetch func(context.Context, model.InstanceID) bool
	// poll makes it ask others also while messages are missing that would tell of newer
	// data.
	poll bool
}

func (in *Instance) newFetchers() []fetcher {
	return []fetcher{
		{now: make(chan struct{}, 1), fetch: in.fetchChanges, poll: true, empty: func() bool { return !in.copy.Loaded() },
			ahead: func(o, self fleet.Presence) bool { return self.Position.Before(o.Position) }},
		{now: make(chan struct{}, 1), fetch: in.fetchDesired, empty: func() bool { return in.state.Load() == nil },
			ahead: hasNewerState},
	}
}

// catchUp fetches changes and desired states from instances that are ahead.
// Usually these are the instance that watches the store for the region and those
// that have caught up with it; while the store does not respond it can be any
// instance.
func (in *Instance) catchUp(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range in.fetchers {
		wg.Go(func() { in.runFetcher(ctx, f) })
	}
	wg.Wait()
}

// requestCatchUp makes the fetchers start a round without waiting for their
// interval.
func (in *Instance) requestCatchUp() {
	for _, f := range in.fetchers {
		select {
		case f.now <- struct{}{}:
		default:
		}
	}
}

func (in *Instance) runFetcher(ctx context.Context, f fetcher) {
	var behindSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.now:
		case <-time.After(catchUpInterval):
		}
		if in.watchWorks(time.Now()) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(watchDeliveryWait):
			}
		}
		near, far := in.members.Ahead(in.presence(), f.ahead)
		if f.poll && len(near)+len(far) == 0 && in.messageDelay(time.Now()) > missingEchoes {
			in.pollOthers(ctx)
			continue
		}
		switch {
		case len(near)+len(far) == 0:
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = time.Now()
		}
		in.fetchFromAny(ctx, in.sources(near, far, f.empty(), behindSince), f.fetch)
	}
}

// watchWorks reports whether this instance watches the store and knows that the
// store responded to it a moment ago.
func (in *Instance) watchWorks(now time.Time) bool {
	_, sinceResponse := in.copy.Position(now)
	return sinceResponse == 0 && !in.storeLost.Load() && in.copy.Age(now) < 2*verifyInterval
}

// sources returns the instances to ask, in order. An instance that has nothing yet and
// knows no other one asks the seeds.
func (in *Instance) sources(near, far []fleet.Presence, empty bool, behindSince time.Time) []model.InstanceID {
	var out []model.InstanceID
	for _, p := range near {
		out = append(out, p.ID)
	}
	if time.Since(behindSince) >= farFetchDelay || in.members.Represents(in.ownDomain()) || empty {
		for _, p := range far {
			out = append(out, p.ID)
		}
	}
	if len(near)+len(far) == 0 && empty {
		for _, s := range in.seeds() {
			out = append(out, model.InstanceID(s.String()))
		}
	}
	out = in.failedSources.last(out, time.Now())
	return out[:min(len(out), maxSources)]
}

// fetchFromAny asks the sources one after the other until one of them has newer
// data. The next one is asked once a call has ended without any or takes longer than
// nextSourceDelay.
func (in *Instance) fetchFromAny(ctx context.Context, sources []model.InstanceID, fetch func(context.Context, model.InstanceID) bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	results := make(chan bool, len(sources))
	running := 0
	for len(sources) > 0 || running > 0 {
		var next <-chan time.Time
		if len(sources) > 0 {
			from := sources[0]
			sources = sources[1:]
			running++
			go func() { results <- fetch(ctx, from) }()
			next = time.After(nextSourceDelay)
		}
		select {
		case found := <-results:
			if running--; found {
				return
			}
		case <-next:
		}
	}
}

// fetchFailed logs a failed call of an instance, which is asked after all others for
// some time. A call that was cancelled because another one was faster does not count.
func (in *Instance) fetchFailed(ctx context.Context, from model.InstanceID, err error) {
	if ctx.Err() == context.Canceled {
		return
	}
	in.failedSources.add(from, time.Now())
	in.counters.fetchesFailed.Add(1)
	in.log.Log(events.ChangesFetchFailed).Str("from", string(from)).Err(err).Send()
}

// failedSources remembers the instances whose last call failed.
type failedSources struct {
	mu sync.Mutex
	at map[model.InstanceID]time.Time
}

func (s *failedSources) add(id model.InstanceID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[model.InstanceID]time.Time{}
	}
	for other, at := range s.at {
		if now.Sub(at) > failedSourceTime {
			delete(s.at, other)
		}
	}
	s.at[id] = now
}

// has reports whether an instance has failed recently.
func (s *failedSources) has(id model.InstanceID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent(id, now)
}

// recent is has. The lock is held.
func (s *failedSources) recent(id model.InstanceID, now time.Time) bool {
	at, ok := s.at[id]
	return ok && now.Sub(at) <= failedSourceTime
}

// last moves the instances that have failed recently to the end.
func (s *failedSources) last(ids []model.InstanceID, now time.Time) []model.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := func(id model.InstanceID) int {
		if s.recent(id, now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ids, func(a, b model.InstanceID) int { return failed(a) - failed(b) })
	return ids
}
