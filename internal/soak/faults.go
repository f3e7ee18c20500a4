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
	// At is the time after the start of the schedule.
	At time.Duration
	// Kind is one of the keys of injectors.
	Kind string
	// Index picks an instance, an endpoint or a failure domain.
	Index    int
	Duration time.Duration
}

// String formats the fault as one line of a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%5.2f s  %s %d for %s", f.At.Seconds(), f.Kind, f.Index, f.Duration.Round(10*time.Millisecond))
}

// injectors holds the function that injects each kind of fault and clears it
// after its duration.
var injectors = map[string]func(w *Cluster, f Fault){
	"kill":             killInstance,
	"kill all":         killAllInstances,
	"stop":             stopInstance,
	"pause":            pauseInstance,
	"hangup":           sendHangup,
	"store down":       storeFault(standin.StoreFaults{Down: true}),
	"store slow":       storeFault(standin.StoreFaults{Delay: 150 * time.Millisecond}),
	"store silent":     storeFault(standin.StoreFaults{SilentWatches: true}),
	"store loses":      storeFault(standin.StoreFaults{DropWriteResponses: true}),
	"history lost":     func(w *Cluster, _ Fault) { w.noteStoreFault(); w.Store.Compact() },
	"store cut":        storeProxyFault(func(p *Proxy) { p.silent.Store(true) }),
	"store one way":    storeProxyFault(func(p *Proxy) { p.oneWay.Store(true) }),
	"store refuses":    storeProxyFault(func(p *Proxy) { p.refuse.Store(true); p.Reset() }),
	"endpoint slow":    endpointFault(func(e *Endpoint) { e.proxy.delay.Store(int64(80 * time.Millisecond)) }),
	"endpoint silent":  endpointFault(func(e *Endpoint) { e.proxy.silent.Store(true) }),
	"endpoint one way": endpointFault(func(e *Endpoint) { e.proxy.oneWay.Store(true) }),
	"endpoint reset":   endpointFault(func(e *Endpoint) { e.proxy.Reset() }),
	"endpoint fails":   endpointFault(func(e *Endpoint) { e.SetStatus(500) }),
	"endpoint cuts":    endpointFault(func(e *Endpoint) { e.SetCloseWithoutResponse(true) }),
	"endpoint halves":  endpointFault(func(e *Endpoint) { e.SetResponseFault(standin.TruncatedResponse) }),
	"endpoint repeats": endpointFault(func(e *Endpoint) { e.SetResponseFault(standin.DuplicateResponse) }),
	"endpoint leaves":  drainEndpoint,
	"address reused":   reuseAddress,
	"endpoint crashes": crashEndpoint,
	"state":            func(w *Cluster, _ Fault) { w.PutNextState() },
	"evacuate":         evacuate,
	"callers cut":      callerProxyFault(func(p *Proxy) { p.silent.Store(true) }),
	"callers one way":  callerProxyFault(func(p *Proxy) { p.oneWay.Store(true) }),
	"callers reset":    callerProxyFault(func(p *Proxy) { p.Reset() }),
	"callers slow":     callerProxyFault(func(p *Proxy) { p.delay.Store(int64(60 * time.Millisecond)) }),
	"settings":         changeSettings,
	"store restored":   restoreStore,
	"endpoint limits":  limitEndpoint,
	"endpoint says":    announceDeparture,
	"endpoint refuses": refuseRequests,
}

// faultKinds lists the kinds in a fixed order, so that a seed determines the
// schedule. A kind that is listed twice is drawn twice as often.
var faultKinds = []string{"kill", "kill all", "stop", "pause", "hangup", "store down", "store slow", "store silent", "store loses",
	"history lost", "store cut", "store one way", "store refuses", "endpoint slow", "endpoint silent", "endpoint one way",
	"endpoint reset", "endpoint fails", "endpoint cuts", "endpoint halves", "endpoint repeats", "address reused", "endpoint leaves", "endpoint crashes", "state", "state", "evacuate"}

// addedKinds were added after some seeds had found failures. They are drawn
// separately, so that the schedules of those seeds keep their faults.
var addedKinds = []string{"callers cut", "callers one way", "callers reset", "callers slow", "settings"}

// restoreKinds have a stream of their own for the same reason.
var restoreKinds = []string{"store restored"}

// limitKinds have a stream of their own too.
var limitKinds = []string{"endpoint limits"}

// wishKinds are faults in which an endpoint says in its responses what it wants.
var wishKinds = []string{"endpoint says", "endpoint refuses"}

// Schedule returns the random faults of a run. It depends only on its arguments.
func Schedule(seed uint64, length time.Duration) []Fault {
	out := append(drawFaults(seed, 7, faultKinds, 900, length), drawFaults(seed, 8, addedKinds, 2000, length)...)
	out = append(out, drawFaults(seed, 9, restoreKinds, 6000, length)...)
	out = append(out, drawFaults(seed, 10, limitKinds, 2500, length)...)
	return append(out, drawFaults(seed, 11, wishKinds, 3000, length)...)
}

// drawFaults draws faults of the given kinds. The gap between two draws is 100 to
// 100+maxGapMS milliseconds.
func drawFaults(seed, stream uint64, names []string, maxGapMS int, length time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, stream))
	var out []Fault
	for at := 500 * time.Millisecond; at < length; at += time.Duration(100+rnd.IntN(maxGapMS)) * time.Millisecond {
		kind := names[rnd.IntN(len(names))]
		f := Fault{At: at, Kind: kind, Index: rnd.IntN(1000), Duration: time.Duration(200+rnd.IntN(2500)) * time.Millisecond}
		out = append(out, f)
		// Some faults are repeated up to two times.
		for n := rnd.IntN(6) - 3; n > 0; n-- {
			f.At += time.Duration(50+rnd.IntN(300)) * time.Millisecond
			f.Index = rnd.IntN(1000)
			out = append(out, f)
		}
	}
	return out
}

// InjectFaults injects the faults at their times and waits until all of them
// have ended.
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
				injectors[f.Kind](w, f)
			}
		}()
	}
	group.Wait()
}

func (w *Cluster) pickInstance(f Fault) *Instance { return w.Instances[f.Index%len(w.Instances)] }

// pickEndpoint selects a listed endpoint. It returns nil if too few are listed.
func (w *Cluster) pickEndpoint(f Fault) *Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*Endpoint
	for _, e := range w.Endpoints {
		if e.leaving.IsZero() && !e.excluded {
			live = append(live, e)
		}
	}
	const least = 3
	if len(live) <= least {
		return nil
	}
	return live[f.Index%len(live)]
}

func (w *Cluster) noteStoreFault() {
	w.mu.Lock()
	w.lastStoreFault = time.Now()
	w.mu.Unlock()
}

// restartDelay is how long the platform waits before it restarts a process.
const restartDelay = 200 * time.Millisecond

// restart starts the instance again after its process has ended, unless an
// overlapping fault has already done so.
func (w *Cluster) restart(in *Instance, ended *exec.Cmd) {
	time.Sleep(restartDelay)
	if err := w.Restart(in, ended); err != nil {
		panic(err) // The same program has been started before.
	}
}

func killInstance(w *Cluster, f Fault) {
	in := w.pickInstance(f)
	w.restart(in, in.Signal(syscall.SIGKILL, true))
}

func killAllInstances(w *Cluster, _ Fault) {
	ended := make([]*exec.Cmd, len(w.Instances))
	for i, in := range w.Instances {
		ended[i] = in.Signal(syscall.SIGKILL, true)
	}
	for i, in := range w.Instances {
		w.restart(in, ended[i])
	}
}

// stopInstance shuts the instance down gracefully, kills it after the grace
// period, and starts it again.
func stopInstance(w *Cluster, f Fault) {
	in := w.pickInstance(f)
	if _, _, stopping := in.state(); !stopping.IsZero() {
		return
	}
	stopped := in.Signal(syscall.SIGTERM, true)
	time.Sleep(grace)
	if in.process() == stopped { // No overlapping fault has restarted it.
		in.Signal(syscall.SIGKILL, true)
	}
	w.restart(in, stopped)
}

func pauseInstance(w *Cluster, f Fault) {
	in := w.pickInstance(f)
	in.Signal(syscall.SIGSTOP, false)
	time.Sleep(f.Duration)
	in.Signal(syscall.SIGCONT, false)
}

func sendHangup(w *Cluster, f Fault) { w.pickInstance(f).Signal(syscall.SIGHUP, false) }

func storeFault(faults standin.StoreFaults) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		w.noteStoreFault()
		w.Store.SetFaults(faults)
		time.Sleep(f.Duration)
		w.Store.SetFaults(standin.StoreFaults{})
		w.noteStoreFault()
	}
}

// rewriteDelay is how long after a restore of the store its writers write again what
// was lost.
const rewriteDelay = time.Second

// restoreStore takes the store down and brings it back from a copy that is as old as
// the fault lasts.
func restoreStore(w *Cluster, f Fault) {
	saved := w.Store.Copy()
	time.Sleep(f.Duration)
	w.noteStoreFault()
	w.Store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(f.Duration / 2)
	w.Store.Restore(saved)
	w.Store.SetFaults(standin.StoreFaults{})
	w.noteStoreFault()
	time.Sleep(rewriteDelay)
	w.rewriteRecords()
	w.noteStoreFault()
}

func storeProxyFault(inject func(*Proxy)) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		in := w.pickInstance(f)
		in.noteFault()
		inject(in.storeProxy)
		time.Sleep(f.Duration)
		in.storeProxy.ClearFaults()
		in.noteFault()
	}
}

// callerProxyFault injects a fault between callers and an instance. Other
// instances still reach it.
func callerProxyFault(inject func(*Proxy)) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		in := w.pickInstance(f)
		inject(in.callerProxy)
		time.Sleep(f.Duration)
		in.callerProxy.ClearFaults()
	}
}

// changeSettings adds an unknown setting to the settings file of an instance. For
// every second index it also requests a reload.
func changeSettings(w *Cluster, f Fault) {
	in := w.pickInstance(f)
	text, err := os.ReadFile(in.config)
	if err != nil {
		panic(err) // The cluster has written the file.
	}
	text = append([]byte(fmt.Sprintf("{\"later_%d\": {\"x\": 1}, ", f.Index)), text[1:]...)
	if err := os.WriteFile(in.config+".new", text, 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(in.config+".new", in.config); err != nil {
		panic(err)
	}
	if f.Index%2 == 0 {
		sendHangup(w, f)
	}
}

func endpointFault(inject func(*Endpoint)) func(*Cluster, Fault) {
	return func(w *Cluster, f Fault) {
		e := w.pickEndpoint(f)
		if e == nil {
			return
		}
		inject(e)
		time.Sleep(f.Duration)
		e.proxy.ClearFaults()
		e.SetStatus(0)
		e.SetCloseWithoutResponse(false)
		e.SetResponseFault(standin.NoFault)
	}
}

// drainEndpoint marks an endpoint as leaving, starts a cold replacement, and
// removes the entry 4 s later.
func drainEndpoint(w *Cluster, f Fault) {
	e := w.pickEndpoint(f)
	if e == nil {
		return
	}
	w.mu.Lock()
	w.listEndpoint(e, true, 0)
	e.leaving = time.Now()
	w.mu.Unlock()
	w.addColdEndpoint(e.domain)
	const drainTime = 4 * time.Second
	time.Sleep(drainTime)
	w.removeEndpoint(e)
}

// announceDeparture makes an endpoint say in its responses that it is leaving, while
// its entry still calls it ready. Later the entry is removed.
func announceDeparture(w *Cluster, f Fault) {
	e := w.pickEndpoint(f)
	if e == nil {
		return
	}
	w.mu.Lock()
	e.excluded = true
	w.mu.Unlock()
	e.SetLeaving(true)
	w.addColdEndpoint(e.domain)
	time.Sleep(drainBound + 2*time.Second + f.Duration)
	w.removeEndpoint(e)
}

// refuseRequests makes an endpoint refuse all requests and ask for pauses.
func refuseRequests(w *Cluster, f Fault) {
	e := w.pickEndpoint(f)
	if e == nil {
		return
	}
	e.Refuse("1.5")
	time.Sleep(f.Duration)
	e.Refuse("")
}

// limitedTime is how long an endpoint names a rate limit, beyond the fault's
// duration. It is longer than a settling time and a window of the check.
const limitedTime = settleTime + limitWindow + time.Second

// limitEndpoint makes an endpoint name a rate limit. If it names one already, the
// higher one counts.
func limitEndpoint(w *Cluster, f Fault) {
	e := w.pickEndpoint(f)
	if e == nil {
		return
	}
	limit := 0.5 * float64(1+f.Index%8)
	e.SetRateLimit(limit)
	w.mu.Lock()
	if e.rateLimit == 0 {
		e.limitedSince, e.limitedArrivals = time.Now(), nil
	}
	e.rateLimit = max(e.rateLimit, limit)
	w.mu.Unlock()
	time.Sleep(limitedTime + f.Duration)
	w.mu.Lock()
	e.rateLimit = 0
	w.mu.Unlock()
	e.SetRateLimit(-1)
}

// crashEndpoint stops an endpoint without notice. Later its entry is removed and
// a replacement starts.
func crashEndpoint(w *Cluster, f Fault) {
	e := w.pickEndpoint(f)
	if e == nil {
		return
	}
	w.mu.Lock()
	e.excluded = true
	w.mu.Unlock()
	e.Close()
	time.Sleep(f.Duration)
	w.removeEndpoint(e)
	w.addColdEndpoint(e.domain)
}

// reuseAddress stops an endpoint without notice and starts an endpoint of another
// service at its address. The entry of the first one is removed later.
func reuseAddress(w *Cluster, f Fault) {
	e := w.pickEndpoint(f)
	if e == nil {
		return
	}
	addr := e.Addr()
	w.mu.Lock()
	e.excluded = true
	w.mu.Unlock()
	e.Close()
	w.mu.Lock()
	w.nextID++
	other, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("e", w.nextID), Service: "other", Domain: e.domain,
		Slots: 4, Queue: 8, ServiceTime: 15 * time.Millisecond, Addr: addr})
	if err == nil { // The kernel may not have released the address yet.
		replacement := &Endpoint{Endpoint: other, proxy: e.proxy, domain: e.domain, otherService: true, excluded: true}
		w.Endpoints = append(w.Endpoints, replacement)
		w.listEndpoint(replacement, false, 0)
	}
	w.mu.Unlock()
	time.Sleep(f.Duration)
	w.removeEndpoint(e)
	w.addColdEndpoint(e.domain)
}

func (w *Cluster) addColdEndpoint(domain string) {
	if err := w.AddEndpoint(domain, 500*time.Millisecond); err != nil {
		panic(err) // The loopback interface has free ports.
	}
}

// evacuate evacuates a failure domain and ends the evacuation later.
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
