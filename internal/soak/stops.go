package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// PlannedStop is a planned stop of a process.
type PlannedStop struct {
	Instance    *Instance
	Incarnation int
	// Term is when SIGTERM was sent, Exited when the process had exited.
	Term, Exited time.Time
	// Killed means that it was still running at the end of the grace period.
	Killed bool
	// Further are the signals sent while the process was stopping.
	Further []string
}

// stopRun is a run of planned stops that overlap, with callers, reloads, changes of the
// desired state and evacuations beside them.
type stopRun struct {
	cluster *Cluster
	callers *stopCallers
	seed    uint64

	mu    sync.Mutex
	stops []PlannedStop
	runs  map[string][]standin.Run
	// unready are the instances that did not become ready again.
	unready []string
}

// newStopRun starts a cluster. The grace period depends on the seed.
func newStopRun(binary, dir string, seed uint64, instances int) (*stopRun, error) {
	s := &stopRun{seed: seed, runs: map[string][]standin.Run{}}
	const endpoints, slots = 8, 64
	w, err := NewCluster(binary, dir, seed, instances, endpoints, func(w *Cluster) {
		w.direct, w.routes = true, stopRoutes
		if seed%2 == 0 {
			w.grace = 10 * time.Second
		}
		w.endpoint = func(cfg *standin.EndpointConfig) { cfg.Slots, cfg.Work, cfg.Ended = slots, stopWork, s.noteRun }
	})
	s.cluster, s.callers = w, &stopCallers{cluster: w}
	return s, err
}

func (s *stopRun) noteRun(id string, r standin.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], r)
}

// history returns what callers and endpoints saw.
func (s *stopRun) history() *stopHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &stopHistory{grace: s.cluster.grace, requests: s.callers.requests, runs: s.runs, stops: s.stops, unready: s.unready}
}

// Play runs all until stops have begun for length, and the last ones have ended.
func (s *stopRun) Play(length time.Duration, callersPerKind int) {
	ctx, cancel := context.WithCancel(context.Background())
	var background, series sync.WaitGroup
	for _, in := range s.cluster.Instances {
		s.awaitReady(in)
	}
	background.Go(func() { s.callers.Run(ctx, callersPerKind, s.seed) })
	background.Go(func() { s.disturb(ctx) })
	end := time.Now().Add(length)
	for i, in := range s.cluster.Instances {
		series.Go(func() { s.stopInSeries(in, rand.New(rand.NewPCG(s.seed, uint64(i))), end) })
	}
	series.Wait()
	cancel()
	background.Wait()
	s.awaitRuns()
}

// awaitRuns waits until all runs have ended. Those whose callers have left may last
// until their deadlines.
func (s *stopRun) awaitRuns() {
	for end := time.Now().Add(longDeadline); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		running := 0
		for _, n := range s.cluster.runs() {
			running += n
		}
		s.mu.Lock()
		for _, runs := range s.runs {
			running -= len(runs)
		}
		s.mu.Unlock()
		if running == 0 {
			return
		}
	}
}

// stopInSeries stops the instance again and again, and starts it after each stop.
func (s *stopRun) stopInSeries(in *Instance, rnd *rand.Rand, end time.Time) {
	for {
		if !s.awaitReady(in) {
			s.mu.Lock()
			s.unready = append(s.unready, in.name)
			s.mu.Unlock()
			return
		}
		time.Sleep(time.Duration(500+rnd.IntN(3500)) * time.Millisecond)
		if time.Now().After(end) {
			return
		}
		s.cluster.restart(in, s.stop(in, rnd))
	}
}

// stop ends the process as the platform does: with SIGTERM, and with SIGKILL after the
// grace period. Other signals may come in between.
func (s *stopRun) stop(in *Instance, rnd *rand.Rand) *exec.Cmd {
	incarnation, _, _ := in.state()
	p := PlannedStop{Instance: in, Incarnation: incarnation, Term: time.Now()}
	process := in.Signal(syscall.SIGTERM, true)
	further := map[time.Duration]syscall.Signal{}
	for range rnd.IntN(4) {
		further[time.Duration(rnd.Int64N(int64(s.cluster.grace)))] = []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}[rnd.IntN(3)]
	}
	for p.Exited.IsZero() {
		time.Sleep(2 * time.Millisecond)
		for after, sig := range further {
			if time.Since(p.Term) >= after {
				_ = process.Process.Signal(sig) // It may have exited.
				p.Further = append(p.Further, fmt.Sprint(sig, " after ", after.Round(time.Millisecond)))
				delete(further, after)
			}
		}
		if errors.Is(process.Process.Signal(syscall.Signal(0)), os.ErrProcessDone) {
			p.Exited = time.Now()
		} else if time.Since(p.Term) >= s.cluster.grace && !p.Killed {
			p.Killed = true
			_ = process.Process.Kill()
		}
	}
	s.mu.Lock()
	s.stops = append(s.stops, p)
	s.mu.Unlock()
	return process
}

// awaitReady waits until the instance is ready.
func (s *stopRun) awaitReady(in *Instance) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	const limit = 20 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + in.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// disturb changes the desired state, reloads settings and evacuates failure domains
// until the context ends.
func (s *stopRun) disturb(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.seed, 100))
	var evacuations sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+rnd.IntN(800)) * time.Millisecond)
		f := Fault{Index: rnd.IntN(1000), Duration: time.Duration(rnd.IntN(1000)) * time.Millisecond}
		switch rnd.IntN(4) {
		case 0:
			s.cluster.PutNextState()
		case 1:
			f.Index |= 1 // Without the signal.
			changeSettings(s.cluster, f)
			hangUp(s.cluster.pickInstance(f))
		case 2:
			hangUp(s.cluster.pickInstance(f))
		default:
			if rnd.IntN(3) == 0 {
				evacuations.Go(func() { evacuate(s.cluster, f) })
			}
		}
	}
	evacuations.Wait()
}

// hangUp sends SIGHUP to the instance's process if it listens. Before a program has
// installed its handlers, in the first milliseconds, the signal ends it.
func hangUp(in *Instance) {
	process := in.process()
	c, err := net.DialTimeout("tcp", in.ready, dialTimeout)
	if err != nil {
		return
	}
	_ = c.Close()
	_ = process.Process.Signal(syscall.SIGHUP) // It may have exited.
}
