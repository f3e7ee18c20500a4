package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/daemon"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/settings"
	"jujubestile.example/jujubestile/internal/store"
	"jujubestile.example/jujubestile/internal/telemetry"
)

const (
	// readyTimeout is how long the demo waits for all instances to become ready.
	readyTimeout = 15 * time.Second
	// rulesTimeout is how long an edit may take to be in force on all instances.
	rulesTimeout = 4 * time.Second
	// bulkOverload multiplies the rate of bulk requests during the overload.
	bulkOverload = 10
)

// phases lists the phases of the demo in order, with their minimum duration.
var phases = []struct {
	name string
	time time.Duration
}{
	{"steady", 2 * time.Second},
	{"rule edit", 2 * time.Second},
	{"bulk overload", 3 * time.Second},
	{"drain", 2 * time.Second},
	{"endpoint lost", 2 * time.Second},
}

// instance is one running daemon.
type instance struct {
	*daemon.Daemon
	settings settings.Settings
	stop     context.CancelFunc
	done     chan error
}

// run is the state of one run of the demo.
type run struct {
	platform  *platformStandIns
	instances []*instance
	callers   *callers
	report    Report
	// watchers waits for watchRevisions to end.
	watchers sync.WaitGroup
}

// Run runs the demo. The log events of all instances are written to log. Run
// returns the report, or an error if the demo could not start.
func Run(ctx context.Context, log io.Writer) (report *Report, err error) {
	p, err := startPlatform()
	if err != nil {
		return nil, err
	}
	r := &run{platform: p}
	defer func() {
		if stopErr := p.stop(); err == nil {
			err = stopErr
		}
	}()
	defer r.stopInstances()
	if err := r.startInstances(log); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.runPhases(ctx)
	return &r.report, nil
}

func (r *run) startInstances(log io.Writer) error {
	all, err := r.platform.instanceSettings()
	if err != nil {
		return err
	}
	if err := r.putFirstRules(); err != nil {
		return err
	}
	for _, s := range all {
		d := daemon.New(s, events.New(log, zerolog.InfoLevel, string(s.Instance)), telemetry.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		i := &instance{Daemon: d, settings: s, stop: cancel, done: make(chan error, 1)}
		r.instances = append(r.instances, i)
		go func() { i.done <- d.Run(ctx) }()
	}
	return nil
}

// putFirstRules stores the first rules document. In a real deployment an operator
// applies it before the first instance starts.
func (r *run) putFirstRules() error {
	doc := configsync.Document{
		Head: configsync.Head{Revision: 1, EditID: "demo-1", Author: "demo operator", Time: time.Now()},
		Text: r.platform.rulesText(),
	}
	value, err := doc.Encode()
	if err != nil {
		return err
	}
	_, err = r.platform.kv.CompareAndSwap(context.Background(), configsync.Key, store.Absent, value, 0)
	return errors.Trace(err)
}

func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range r.instances {
		if err := i.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the instance is ready. It returns an error if the
// instance ends before, or is not ready when ctx is done.
func (i *instance) awaitReady(ctx context.Context) error {
	for !i.IsReady() {
		select {
		case err := <-i.done:
			i.done <- err
			return errors.Errorf("%s ended before it was ready: %v", i.ID(), err)
		case <-ctx.Done():
			return errors.Errorf("%s is not ready after %s", i.ID(), readyTimeout)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// runPhases runs all phases under load and fills in the report.
func (r *run) runPhases(ctx context.Context) {
	var bootstrap []string
	for _, i := range r.instances {
		bootstrap = append(bootstrap, i.settings.Listen.Entry.String())
	}
	r.callers = newCallers(bootstrap)
	sending, stopSending := context.WithCancel(ctx)
	r.callers.phase.Store(&phases[0].name)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.callers.run(sending)
	}()
	watching, stopWatching := context.WithCancel(ctx)
	r.watchRevisions(watching)
	for i, action := range []func(context.Context){nil, r.editRules, r.startOverload, r.drain, r.failEndpoint} {
		r.callers.phase.Store(&phases[i].name)
		after := time.After(phases[i].time)
		if action != nil {
			action(ctx)
		}
		<-after
		r.callers.bulkFactor.Store(1)
	}
	stopSending()
	<-done
	stopWatching()
	r.watchers.Wait()
	r.summarize()
}

// editRules applies an edit through the last instance and waits until it is in
// force on all instances.
func (r *run) editRules(ctx context.Context) {
	began := time.Now()
	last := r.instances[len(r.instances)-1]
	text := strings.Replace(r.platform.rulesText(), "minimum 3 5%", "minimum 3 6%", 1)
	res := last.Edit(ctx, configsync.Request{Text: text, Author: "demo operator", Base: last.Revision(), EditID: "demo-2"})
	if res.Outcome != configsync.Accepted {
		r.reportViolation("rule edit %s: %s", res.Outcome, res.Detail)
		return
	}
	for _, i := range r.instances {
		for i.Revision() < res.Head.Revision {
			if time.Since(began) > rulesTimeout {
				r.reportViolation("revision %d not in force on %s after %s", res.Head.Revision, i.ID(), rulesTimeout)
				return
			}
			_ = sleep(ctx, time.Millisecond)
		}
	}
	r.report.RulesInForce = float64(time.Since(began)) / float64(time.Millisecond)
}

func (r *run) startOverload(context.Context) {
	r.callers.bulkFactor.Store(bulkOverload)
}

// drain shuts the first instance down gracefully and waits until it has stopped.
func (r *run) drain(ctx context.Context) {
	i := r.instances[0]
	began := time.Now()
	i.stop()
	select {
	case err := <-i.done:
		if err != nil {
			r.reportViolation("graceful shutdown of %s: %v", i.ID(), err)
		}
		i.done <- err
	case <-ctx.Done():
	}
	r.report.DrainTime = float64(time.Since(began)) / float64(time.Millisecond)
}

func (r *run) failEndpoint(context.Context) {
	r.platform.endpoints[0].Stop()
}

// watchRevisions checks that no instance reverts to an earlier revision of the
// rules.
func (r *run) watchRevisions(ctx context.Context) {
	r.watchers.Add(1)
	go func() {
		defer r.watchers.Done()
		highest := make([]uint64, len(r.instances))
		for sleep(ctx, 5*time.Millisecond) == nil {
			for n, i := range r.instances {
				rev := i.Revision()
				if rev < highest[n] {
					r.reportViolation("%s reverted from revision %d to %d", i.ID(), highest[n], rev)
				}
				highest[n] = max(highest[n], rev)
			}
		}
	}()
}

// summarize fills in the rows of the report and checks the invariants.
func (r *run) summarize() {
	runs := r.platform.runs()
	names := make([]string, len(phases))
	for i, p := range phases {
		names[i] = p.name
	}
	r.report.Rows = rows(r.callers.samples, names, runs)
	for _, s := range r.callers.samples {
		if s.misdelivered {
			r.reportViolation("a caller got the response to another request (%s)", s.workID)
		}
		if s.outcome == model.OutcomeNotRun && runs[s.workID] > 0 {
			r.reportViolation("%s was reported as not run but ran", s.workID)
		}
		if s.workID != "" && runs[s.workID] > 1 {
			r.reportViolation("%s ran %d times", s.workID, runs[s.workID])
		}
	}
	for key, g := range r.platform.gauges {
		if most, limit := g.Max(), r.platform.capacity(key); most > limit {
			r.reportViolation("%d concurrent requests for %s in %s, capacity %d", most, key.Service, key.Region, limit)
		}
	}
}

func (r *run) reportViolation(format string, args ...any) {
	r.report.mu.Lock()
	defer r.report.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

func (r *run) stopInstances() {
	for _, i := range r.instances {
		i.stop()
	}
	for _, i := range r.instances {
		<-i.done
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
