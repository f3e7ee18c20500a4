package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind string
	// Index picks an instance, an endpoint or a failure domain.
	Index    int
	Duration time.Duration
}

// String is the fault as a schedule prints it.
func (f Fault) String() string {
	return fmt.Sprintf("%5.2f s  %s %d for %s", f.At.Seconds(), f.Kind, f.Index, f.Duration.Round(10*time.Millisecond))
}

// kinds lists the faults and how they are brought about.
var kinds = map[string]func(w *Cluster, f Fault){
	"kill":             killInstance,
	"kill all":         killAll,
	"stop":             stopInstance,
	"pause":            pauseInstance,
	"hangup":           hangUp,
	"store down":       storeFault(standin.StoreFaults{Down: true}),
	"store slow":       storeFault(standin.StoreFaults{Delay: 150 * time.Millisecond}),
	"store silent":     storeFault(standin.StoreFaults{SilentWatches: true}),
	"store loses":      storeFault(standin.StoreFaults{DropWriteResponses: true}),
	"history lost":     func(w *Cluster, _ Fault) { w.harmStore(); w.Store.Compact() },
	"store cut":        storeCut(func(p *Proxy) { p.silent.Store(true) }),
	"store one way":    storeCut(func(p *Proxy) { p.oneWay.Store(true) }),
	"store refuses":    storeCut(func(p *Proxy) { p.refuse.Store(true); p.Reset() }),
	"endpoint slow":    endpointFault(func(e *Endpoint) { e.proxy.delay.Store(int64(80 * time.Millisecond)) }),
	"endpoint silent":  endpointFault(func(e *Endpoint) { e.proxy.silent.Store(true) }),
	"endpoint one way": endpointFault(func(e *Endpoint) { e.proxy.oneWay.Store(true) }),
	"endpoint reset":   endpointFault(func(e *Endpoint) { e.proxy.Reset() }),
	"endpoint fails":   endpointFault(func(e *Endpoint) { e.SetStatus(500) }),
	"endpoint cuts":    endpointFault(func(e *Endpoint) { e.SetCloseWithoutResponse(true) }),
	"endpoint halves":  endpointFault(func(e *Endpoint) { e.SetResponseFault(standin.TruncatedResponse) }),
	"endpoint repeats": endpointFault(func(e *Endpoint) { e.SetResponseFault(standin.DuplicateResponse) }),
	"endpoint leaves":  endpointLeaves,
	"address reused":   addressReused,
	"endpoint crashes": endpointCrashes,
	"state":            func(w *Cluster, _ Fault) { w.PutNextState() },
	"evacuate":         evacuate,
	"callers cut":      callersCut(func(p *Proxy) { p.silent.Store(true) }),
	"callers one way":  callersCut(func(p *Proxy) { p.oneWay.Store(true) }),
	"callers reset":    callersCut(func(p *Proxy) { p.Reset() }),
	"callers slow":     callersCut(func(p *Proxy) { p.delay.Store(int64(60 * time.Millisecond)) }),
	"settings":         changeSettings,
}

// kindNames are the kinds in a fixed order, so that a seed decides a schedule.
var kindNames = []string{"kill", "kill all", "stop", "pause", "hangup", "store down", "store slow", "store silent", "store loses",
	"history lost", "store cut", "store one way", "store refuses", "endpoint slow", "endpoint silent", "endpoint one way",
	"endpoint reset", "endpoint fails", "endpoint cuts", "endpoint halves", "endpoint repeats", "address reused", "endpoint leaves", "endpoint crashes", "state", "state", "evacuate"}

// laterKinds were added when seeds had failed already. They are drawn by
// themselves, so that the schedules of those seeds keep their faults.
var laterKinds = []string{"callers cut", "callers one way", "callers reset", "callers slow", "settings"}

// Schedule draws the faults of a run.
func Schedule(seed uint64, length time.Duration) []Fault {
	return append(draw(seed, 7, kindNames, 900, length), draw(seed, 8, laterKinds, 2000, length)...)
}

// draw draws faults of the kinds, at most spread milliseconds apart.
func draw(seed, stream uint64, names []string, spread int, length time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, stream))
	var out []Fault
	for at := 500 * time.Millisecond; at < length; at += time.Duration(100+rnd.IntN(spread)) * time.Millisecond {
		kind := names[rnd.IntN(len(names))]
		f := Fault{At: at, Kind: kind, Index: rnd.IntN(1000), Duration: time.Duration(200+rnd.IntN(2500)) * time.Millisecond}
		out = append(out, f)
		// Some come as a series.
		for n := rnd.IntN(6) - 3; n > 0; n-- {
			f.At += time.Duration(50+rnd.IntN(300)) * time.Millisecond
			f.Index = rnd.IntN(1000)
			out = append(out, f)
		}
	}
	return out
}

// InjectFaults brings the faults about at their times and waits for their ends.
func (w *Cluster) InjectFaults(ctx context.Context, faults []Fault) {
	var group sync.WaitGroup
	start := time.Now()
	for _, f := range faults {
		group.Add(1)
		go func() {
			defer group.Done()
			select {
			case <-ctx.Done():
			case <-time.After(f.At - time.Since(start)):
				kinds[f.Kind](w, f)
			}
		}()
	}
	group.Wait()
}

func (w *Cluster) instance(f Fault) *Instance { return w.Instances[f.Index%len(w.Instances)] }

// endpoint picks one that is listed, or nil if too few are left.
func (w *Cluster) endpoint(f Fault) *Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*Endpoint
	for _, e := range w.Endpoints {
		if e.leaving.IsZero() && !e.gone {
			live = append(live, e)
		}
	}
	const least = 3
	if len(live) <= least {
		return nil
	}
	return live[f.Index%len(live)]
}

func (w *Cluster) harmStore() {
	w.mu.Lock()
	w.storeHarmed = time.Now()
	w.mu.Unlock()
}

// restartPause is the platform's delay before it starts a process again.
const restartPause = 200 * time.Millisecond

// restart starts the instance again after the end of the process, unless an
// overlapping fault has done so.
func (w *Cluster) restart(in *Instance, ended *exec.Cmd) {
	time.Sleep(restartPause)
	if err := w.Restart(in, ended); err != nil {
		panic(err) // Starting a program that ran before needs only a process.
	}
}

func killInstance(w *Cluster, f Fault) {
	in := w.instance(f)
	w.restart(in, in.Signal(syscall.SIGKILL, true))
}

func killAll(w *Cluster, _ Fault) {
	ended := make([]*exec.Cmd, len(w.Instances))
	for i, in := range w.Instances {
		ended[i] = in.Signal(syscall.SIGKILL, true)
	}
	for i, in := range w.Instances {
		w.restart(in, ended[i])
	}
}

// stopInstance stops it as planned and starts it again after its end.
func stopInstance(w *Cluster, f Fault) {
	in := w.instance(f)
	if _, _, stopping := in.state(); !stopping.IsZero() {
		return
	}
	told := in.Signal(syscall.SIGTERM, true)
	time.Sleep(grace)
	if in.process() == told { // Nobody else has started it again.
		in.Signal(syscall.SIGKILL, true)
	}
	w.restart(in, told)
}

func pauseInstance(w *Cluster, f Fault) {
	in := w.instance(f)
	in.Signal(syscall.SIGSTOP, false)
	time.Sleep(f.Duration)
	in.Signal(syscall.SIGCONT, false)
}

func hangUp(w *Cluster, f Fault) { w.instance(f).Signal(syscall.SIGHUP, false) }

func storeFault(faults standin.StoreFaults) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		w.harmStore()
		w.Store.SetFaults(faults)
		time.Sleep(f.Duration)
		w.Store.SetFaults(standin.StoreFaults{})
		w.harmStore()
	}
}

func storeCut(cut func(*Proxy)) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		in := w.instance(f)
		in.harm()
		cut(in.store)
		time.Sleep(f.Duration)
		in.store.ClearFaults()
		in.harm()
	}
}

// callersCut harms the way from callers to an instance, which others still
// reach.
func callersCut(cut func(*Proxy)) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		in := w.instance(f)
		cut(in.front)
		time.Sleep(f.Duration)
		in.front.ClearFaults()
	}
}

// changeSettings writes the settings file of an instance again, with a setting
// that the program does not know, and asks for a reload in every second case.
func changeSettings(w *Cluster, f Fault) {
	in := w.instance(f)
	text, err := os.ReadFile(in.config)
	if err != nil {
		panic(err) // The world has written it.
	}
	text = append([]byte(fmt.Sprintf("{\"later_%d\": {\"x\": 1}, ", f.Index)), text[1:]...)
	if err := os.WriteFile(in.config+".new", text, 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(in.config+".new", in.config); err != nil {
		panic(err)
	}
	if f.Index%2 == 0 {
		hangUp(w, f)
	}
}

func endpointFault(harm func(*Endpoint)) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		e := w.endpoint(f)
		if e == nil {
			return
		}
		harm(e)
		time.Sleep(f.Duration)
		e.proxy.ClearFaults()
		e.SetStatus(0)
		e.SetCloseWithoutResponse(false)
		e.SetResponseFault(standin.NoFault)
	}
}

// endpointLeaves drains an endpoint and lists another one, cold.
func endpointLeaves(w *Cluster, f Fault) {
	e := w.endpoint(f)
	if e == nil {
		return
	}
	w.mu.Lock()
	w.list(e, true, 0)
	e.leaving = time.Now()
	w.mu.Unlock()
	w.add(e.domain)
	const longest = 4 * time.Second
	time.Sleep(longest)
	w.Store.RemoveEndpoint(e.ID())
}

// endpointCrashes ends an endpoint; its entry lapses and another one comes.
func endpointCrashes(w *Cluster, f Fault) {
	e := w.endpoint(f)
	if e == nil {
		return
	}
	w.mu.Lock()
	e.gone = true
	w.mu.Unlock()
	e.Close()
	time.Sleep(f.Duration)
	w.Store.RemoveEndpoint(e.ID())
	w.add(e.domain)
}

// addressReused ends an endpoint without a word and gives its address to one of
// another service. Its entry lapses later.
func addressReused(w *Cluster, f Fault) {
	e := w.endpoint(f)
	if e == nil {
		return
	}
	addr := e.Addr()
	w.mu.Lock()
	e.gone = true
	w.mu.Unlock()
	e.Close()
	w.mu.Lock()
	w.nextID++
	other, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("e", w.nextID), Service: "other", Domain: e.domain,
		Slots: 4, Queue: 8, ServiceTime: 15 * time.Millisecond, Addr: addr})
	if err == nil { // The kernel may not have freed the address yet.
		foreign := &Endpoint{Endpoint: other, proxy: e.proxy, domain: e.domain, foreign: true, gone: true}
		w.Endpoints = append(w.Endpoints, foreign)
		w.list(foreign, false, 0)
	}
	w.mu.Unlock()
	time.Sleep(f.Duration)
	w.Store.RemoveEndpoint(e.ID())
	w.add(e.domain)
}

func (w *Cluster) add(domain string) {
	if err := w.AddEndpoint(domain, 500*time.Millisecond); err != nil {
		panic(err) // Loopback has free ports.
	}
}

// evacuate empties a failure domain and takes it back.
func evacuate(w *Cluster, f Fault) {
	d := domains[f.Index%len(domains)]
	w.mu.Lock()
	if !w.evacuated[d].IsZero() {
		w.mu.Unlock()
		return
	}
	w.Store.Evacuate(d, true)
	w.evacuated[d] = time.Now()
	w.mu.Unlock()
	time.Sleep(evacuateBound + f.Duration)
	w.mu.Lock()
	w.Store.Evacuate(d, false)
	delete(w.evacuated, d)
	w.mu.Unlock()
}
