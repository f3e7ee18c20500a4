package serve

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
)

// Crash reports are sent to all instances after a crash. A new process fetches them
// before it serves requests, because the requests that crash endpoints keep coming
// back, and goes on asking if no instance answers at first. Each instance regularly
// compares its reports with those of another one, which makes up for a report that did
// not arrive; a new process does so also after each crash that it has seen. Reports carry
// their age.

const (
	// crashReportTimeout bounds one call. It allows for opening a connection to an
	// instance that is slow at the moment.
	crashReportTimeout = 2 * time.Second
	// crashReportCalls is how many instances are told of a crash at a time.
	crashReportCalls = 16
	// crashCompareInterval is the time between two comparisons. One costs about 100
	// bytes if the reports are the same, and 40 bytes a report otherwise.
	crashCompareInterval = 5 * time.Second
	// crashFetchLimit bounds the time for which a new process asks before it counts as
	// informed without an answer.
	crashFetchLimit = 30 * time.Second
	// crashGateLimit bounds the time for which a new process serves no requests because
	// no instance has told it the crash reports. Live ones answer within a round trip.
	// When all instances start together, calls to those that are not up yet time out,
	// and callers would wait for that.
	crashGateLimit = 200 * time.Millisecond
	// crashFetchInterval and crashFetchMaxInterval are the first and the longest time
	// between two rounds of asking at the start.
	crashFetchInterval    = 50 * time.Millisecond
	crashFetchMaxInterval = time.Second
	// crashCompareTries is how many instances are asked for one comparison if they do
	// not answer.
	crashCompareTries = 3
	// crashNewFor is how long a process compares its reports after each crash. Later, its
	// regular comparisons have made up for what it missed.
	crashNewFor = 10 * time.Second
	// crashSendAge is the age up to which reports are sent after a crash.
	crashSendAge = 10 * time.Second
	// crashSendTries is how often a report is sent to an instance that does not confirm
	// it, crashSendInterval the time between two tries.
	crashSendTries    = 2
	crashSendInterval = 500 * time.Millisecond
)

// CrashesArgs carries encoded crash reports, see quarantine.Quarantine.Merge.
type CrashesArgs struct{ News []byte }

// CrashReportsArgs asks for the crash reports of an instance, unless Digest shows that
// the caller has the same.
type CrashReportsArgs struct{ Digest []byte }

// CrashReports has the crash reports of an instance.
type CrashReports struct {
	News []byte
	// Informed is false if the instance is new itself.
	Informed bool
}

// shareReports sends the reports of a crash to each live instance. A new process that has
// seen a crash may lack the reports of earlier ones, and takes over those that another
// one has.
func (c *crashDetector) shareReports() {
	var wg sync.WaitGroup
	defer wg.Wait()
	if time.Since(c.in.started) < crashNewFor {
		wg.Go(func() { c.compare(context.Background()) })
	}
	to := c.in.members.Alive()
	for try := 0; len(to) > 0 && try < crashSendTries; try++ {
		if try > 0 {
			time.Sleep(crashSendInterval)
		}
		to = c.sendReports(to)
	}
}

// sendReports sends the recent crash reports to instances, and returns those that have
// not confirmed them. Earlier reports were sent when they were new.
func (c *crashDetector) sendReports(to []fleet.Presence) (failed []fleet.Presence) {
	args := CrashesArgs{c.quarantine.Recent(crashSendAge)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, crashReportCalls)
	for _, p := range to {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
			defer cancel()
			if err := c.in.peers.Call(ctx, p.ID, stateService+".Crashes", args, &struct{}{}); err != nil {
				c.in.log.Log(events.CrashReportFailed).Str("to", string(p.ID)).Err(err).Send()
				mu.Lock()
				failed = append(failed, p)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// compare takes over the crash reports that another instance has and this one lacks.
func (c *crashDetector) compare(ctx context.Context) {
	alive := c.in.members.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, p := range alive[:min(len(alive), crashCompareTries)] {
		if _, informed := c.fetchReports(ctx, p.ID); informed {
			return
		}
	}
}

// Crashes is the RPC method that merges the crash reports of another instance.
func (s *State) Crashes(args CrashesArgs, _ *struct{}) error {
	_, err := s.in.crashes.quarantine.Merge(args.News)
	if err != nil {
		s.in.log.Log(events.MalformedUpdate).Err(err).Send()
	}
	return err
}

// CrashReports is the RPC method that returns the crash reports of this instance.
func (s *State) CrashReports(args CrashReportsArgs, reply *CrashReports) error {
	reply.News = s.in.crashes.quarantine.News(args.Digest)
	reply.Informed = s.in.crashes.informed.Load()
	return nil
}

// fetchReports takes over the crash reports of another instance. It reports whether
// that instance responded and is not new itself.
func (c *crashDetector) fetchReports(ctx context.Context, from model.InstanceID) (responded, informed bool) {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	var reply CrashReports
	err := c.in.peers.Call(ctx, from, stateService+".CrashReports", CrashReportsArgs{c.quarantine.Digest()}, &reply)
	if err == nil && len(reply.News) > 0 {
		_, err = c.quarantine.Merge(reply.News)
	}
	if err != nil {
		if ctx.Err() != context.Canceled {
			c.in.log.Log(events.CrashReportFailed).Str("from", string(from)).Err(err).Send()
		}
		return false, false
	}
	return true, reply.Informed
}

// follow gets the crash reports of other instances, at the start and then regularly.
func (c *crashDetector) follow(ctx context.Context) {
	c.fetchAtStart(ctx)
	ticker := time.NewTicker(crashCompareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.compare(ctx)
	}
}

// fetchAtStart fetches the crash reports of an instance that is not new itself. It ends
// without them if all those that it asks respond and are new, which means that all
// instances start together, if there is no other instance, and in any case after
// crashFetchLimit. Requests are served from crashGateLimit on.
func (c *crashDetector) fetchAtStart(ctx context.Context) {
	gate := time.AfterFunc(crashGateLimit, func() { c.mayServe.Store(true) })
	defer func() {
		gate.Stop()
		c.mayServe.Store(true)
		c.informed.Store(true)
	}()
	ctx, cancel := context.WithTimeout(ctx, crashFetchLimit)
	defer cancel()
	for pause := crashFetchInterval; ctx.Err() == nil; pause = min(2*pause, crashFetchMaxInterval) {
		storeRead := c.storeRead.Load() // Before the sources are looked up.
		sources := c.startSources()
		if storeRead && len(sources) == 0 || len(sources) > 0 && c.askAll(ctx, sources, storeRead) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// askAll asks instances for their crash reports. It returns true once one of them that
// is not new has responded, or when all have responded and are new. Seeds that do not
// respond do not count if the store lists no other instance.
func (c *crashDetector) askAll(ctx context.Context, sources []model.InstanceID, storeRead bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct{ responded, informed bool }
	results := make(chan result, len(sources))
	for _, from := range sources {
		go func() {
			responded, informed := c.fetchReports(ctx, from)
			results <- result{responded, informed}
		}()
	}
	responded := 0
	for range sources {
		r := <-results
		if r.informed {
			return true
		}
		if r.responded {
			responded++
		}
	}
	return responded == len(sources) || storeRead && c.in.members.Count() == 0
}

// startSources returns instances that a new process can ask: those that are alive,
// those of its own failure domain first, then those that the store lists, then the
// seeds.
func (c *crashDetector) startSources() []model.InstanceID {
	var out []model.InstanceID
	known := c.in.members.Known()
	alive := c.in.members.Alive()
	slices.SortStableFunc(alive, func(a, b fleet.Presence) int { return c.distance(a) - c.distance(b) })
	for _, p := range append(alive, known...) {
		if !slices.Contains(out, p.ID) {
			out = append(out, p.ID)
		}
	}
	for _, s := range c.in.seeds() {
		if !slices.ContainsFunc(known, func(p fleet.Presence) bool { return p.Peer == s }) {
			out = append(out, model.InstanceID(s.String()))
		}
	}
	return out[:min(len(out), maxSources)]
}

// distance is 0 for an instance of this failure domain, 1 for one of this region and
// 2 for others.
func (c *crashDetector) distance(p fleet.Presence) int {
	switch {
	case p.Domain == c.in.settings.Domain:
		return 0
	case p.Region == c.in.settings.Region:
		return 1
	}
	return 2
}

// servedState returns the desired state in force, or nil while the instance may not
// serve requests.
func (in *Instance) servedState() *desired.State {
	if !in.crashes.mayServe.Load() {
		return nil
	}
	return in.state.Load()
}
