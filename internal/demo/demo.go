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
	// readyTimeout bounds the wait for all instances to take work.
	readyTimeout = 15 * time.Second
	// rulesBound is within what time an edit is in force everywhere.
	rulesBound = 4 * time.Second
	// bulkOverload multiplies the bulk requests in the overload.
	bulkOverload = 10
)

// Phases of the demo in their order, and how long each lasts at least.
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

// instance is one daemon of the demo.
type instance struct {
	*daemon.Daemon
	settings settings.Settings
	stop     context.CancelFunc
	done     chan error
}

// run is one run of the demo.
type run struct {
	platform  *platformStandIns
	instances []*instance
	callers   *callers
	report    Report
	// watch ends the watch on revisions.
	watch sync.WaitGroup
}

// Run runs the demo. Log receives the events of all instances. It returns the
// report, or an error if the demo could not run at all.
func Run(ctx context.Context, log io.Writer) (*Report, error) {
	p, err := startPlatform()
	if err != nil {
		return nil, err
	}
	r := &run{platform: p}
	defer p.stop()
	defer r.stopInstances()
	if err := r.startInstances(log); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
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

// putFirstRules stores the first rules document, which on a real network an
// operator applies before the first instance starts.
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
		for !i.IsReady() {
			if sleep(ctx, 20*time.Millisecond) != nil {
				return errors.Errorf("%s is not ready after %s", i.ID(), readyTimeout)
			}
		}
	}
	return nil
}

// play runs all phases under load and fills in the report.
func (r *run) play(ctx context.Context) {
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
	for i, do := range []func(context.Context){nil, r.editRules, r.overload, r.drain, r.loseEndpoint} {
		r.callers.phase.Store(&phases[i].name)
		after := time.After(phases[i].time)
		if do != nil {
			do(ctx)
		}
		<-after
		r.callers.bulkFactor.Store(1)
	}
	stopSending()
	<-done
	stopWatching()
	r.watch.Wait()
	r.judge()
}

// editRules applies an edit through the last instance and waits until it is in
// force on all.
func (r *run) editRules(ctx context.Context) {
	began := time.Now()
	last := r.instances[len(r.instances)-1]
	text := strings.Replace(r.platform.rulesText(), "minimum 3 5%", "minimum 3 6%", 1)
	res := last.Edit(ctx, configsync.Request{Text: text, Author: "demo operator", Base: last.Revision(), EditID: "demo-2"})
	if res.Outcome != configsync.Accepted {
		r.broken("rule edit %s: %s", res.Outcome, res.Detail)
		return
	}
	for _, i := range r.instances {
		for i.Revision() < res.Head.Revision {
			if time.Since(began) > rulesBound {
				r.broken("revision %d not in force on %s after %s", res.Head.Revision, i.ID(), rulesBound)
				return
			}
			_ = sleep(ctx, time.Millisecond)
		}
	}
	r.report.RulesInForce = float64(time.Since(began)) / float64(time.Millisecond)
}

func (r *run) overload(context.Context) {
	r.callers.bulkFactor.Store(bulkOverload)
}

// drain stops the first instance as planned and waits until it has left.
func (r *run) drain(ctx context.Context) {
	i := r.instances[0]
	began := time.Now()
	i.stop()
	select {
	case err := <-i.done:
		if err != nil {
			r.broken("planned stop of %s: %v", i.ID(), err)
		}
		i.done <- err
	case <-ctx.Done():
	}
	r.report.DrainTime = float64(time.Since(began)) / float64(time.Millisecond)
}

func (r *run) loseEndpoint(context.Context) {
	r.platform.endpoints[0].Stop()
}

// watchRevisions checks that no instance returns to earlier rules.
func (r *run) watchRevisions(ctx context.Context) {
	r.watch.Add(1)
	go func() {
		defer r.watch.Done()
		highest := make([]uint64, len(r.instances))
		for sleep(ctx, 5*time.Millisecond) == nil {
			for n, i := range r.instances {
				rev := i.Revision()
				if rev < highest[n] {
					r.broken("%s went from revision %d back to %d", i.ID(), highest[n], rev)
				}
				highest[n] = max(highest[n], rev)
			}
		}
	}()
}

// judge fills in the table and checks the invariants.
func (r *run) judge() {
	runs := r.platform.runs()
	names := make([]string, len(phases))
	for i, p := range phases {
		names[i] = p.name
	}
	r.report.Rows = rows(r.callers.samples, names, runs)
	for _, s := range r.callers.samples {
		if s.foreign {
			r.broken("a caller got another request's answer (%s)", s.work)
		}
		if s.outcome == model.OutcomeNotRun && runs[s.work] > 0 {
			r.broken("%s was reported as not run and ran", s.work)
		}
		if s.work != "" && runs[s.work] > 1 {
			r.broken("%s ran %d times", s.work, runs[s.work])
		}
	}
	for key, g := range r.platform.gauges {
		if most, limit := g.Max(), r.platform.capacity(key); most > limit {
			r.broken("%d requests at once for %s in %s, capacity %d", most, key.Service, key.Region, limit)
		}
	}
}

func (r *run) broken(format string, args ...any) {
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
