package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jujubestile.example/jujubestile/internal/freeport"
	"jujubestile.example/jujubestile/platform/standin"
)

// host is the host name that all routes match.
const host = "h.example"

// domains are the failure domains of the cluster. The first letter is the region.
var domains = []string{"a1", "a2", "b1", "b2"}

func regionOf(domain string) string { return domain[:1] }

const (
	// drainBound, evacuateBound and configBound limit how long a change may
	// take to become effective after the store has acknowledged it, as
	// documented for the platform.
	drainBound    = 2500 * time.Millisecond
	evacuateBound = 5 * time.Second
	configBound   = 2500 * time.Millisecond
	// settleTime is how long an instance and the store must have been without
	// faults for the limits to apply.
	settleTime = 3 * time.Second
	// grace is the grace period from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// memoryLimit is the memory limit of an instance on users' machines, in bytes.
	memoryLimit = 206 << 20
)

// Cluster is a store, endpoints and instances.
type Cluster struct {
	binary, dir string
	// network is the prefix of the instances' loopback addresses.
	network string
	// grace is the grace period of the instances. routes returns the routes of a
	// version of the desired state, and endpoint changes the settings of new endpoints;
	// both may be nil. direct lists endpoints at their own addresses, without proxies.
	grace    time.Duration
	routes   func(version int) []standin.Route
	endpoint func(*standin.EndpointConfig)
	direct   bool
	// ports are the ports that each instance listens on, at its own address.
	ports     []*freeport.Port
	Store     *standin.Store
	Instances []*Instance

	mu        sync.Mutex
	Endpoints []*Endpoint
	nextID    int
	// version is the latest version of the desired state.
	version int
	// tenants are those of the desired states, and revoke the revocation time, which
	// is strict unless it is 0.
	tenants []standin.Tenant
	revoke  time.Duration
	// acked holds the time at which the store acknowledged each version of the
	// desired state.
	acked map[int]time.Time
	// lastStoreFault is the start or end of the last fault of the store.
	lastStoreFault time.Time
	// evacuated holds the time at which the store acknowledged the evacuation of
	// each evacuated failure domain.
	evacuated map[string]time.Time
}

// Instance is an instance of the daemon, which may be restarted.
type Instance struct {
	name, ip, domain string
	entry, lookups   string
	ready            string
	config           string
	// storeProxy is between the instance and the store, callerProxy between
	// callers and the instance.
	storeProxy, callerProxy *Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts the processes that have been started.
	incarnation int
	// lastFault is the start or end of the last fault of the process or of its
	// connection to the store.
	lastFault time.Time
	// exitExpected means that the process has been told to exit.
	exitExpected bool
	// stopping is when SIGTERM was sent to the process, or zero.
	stopping time.Time
	// exits counts the unexpected exits.
	exits int
	log   *os.File
}

// Endpoint is an endpoint behind a proxy.
type Endpoint struct {
	*standin.Endpoint
	proxy  *Proxy
	domain string
	// leaving is when the store acknowledged that the endpoint is leaving, or
	// zero.
	leaving time.Time
	// rateLimit is the limit in requests per second that the endpoint names since
	// limitedSince, or 0. limitedArrivals are the times of the requests that count
	// towards it.
	rateLimit       float64
	limitedSince    time.Time
	limitedArrivals []time.Time
	// gone means that the entry has been removed from the store.
	gone bool
	// excluded endpoints are not selected for faults.
	excluded bool
	// otherService endpoints belong to a service that has no route.
	otherService bool
}

// NewCluster starts a store, endpoints and instances, after options have changed the
// cluster. Clusters with different seeds can run at the same time.
func NewCluster(binary, dir string, seed uint64, instances, endpoints int, options ...func(*Cluster)) (*Cluster, error) {
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Cluster{binary: binary, dir: dir, network: fmt.Sprintf("127.8.%d.", seed%250), Store: store, grace: grace, acked: map[int]time.Time{}, evacuated: map[string]time.Time{}}
	for _, o := range options {
		o(w)
	}
	for i := range endpoints {
		if err := w.AddEndpoint(domains[i%len(domains)], 0); err != nil {
			return nil, err
		}
	}
	w.PutNextState()
	if err := w.reservePorts(4); err != nil {
		return nil, err
	}
	for i := range instances {
		if err := w.addInstance(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// reservePorts reserves n ports until Close.
func (w *Cluster) reservePorts(n int) error {
	for range n {
		p, err := freeport.Reserve()
		if err != nil {
			return err
		}
		w.ports = append(w.ports, p)
	}
	return nil
}

func (w *Cluster) addInstance(i int) error {
	proxy, err := NewProxy(w.Store.Addr())
	if err != nil {
		return err
	}
	in := &Instance{name: fmt.Sprint("i", i), ip: fmt.Sprint(w.network, i+1), domain: domains[i%len(domains)], storeProxy: proxy}
	ip, err := netip.ParseAddr(in.ip)
	if err != nil {
		return err
	}
	at := func(port int) string { return w.ports[port].On(ip).String() }
	in.entry, in.lookups, in.ready = at(0), at(1), at(2)
	if in.callerProxy, err = NewProxy(in.entry); err != nil {
		return err
	}
	regionsByDomain := map[string]string{}
	for _, d := range domains {
		regionsByDomain[d] = regionOf(d)
	}
	text, err := json.Marshal(map[string]any{
		"instance": in.name, "region": regionOf(in.domain), "domain": in.domain, "domains": regionsByDomain,
		"listen": map[string]string{"requests": in.entry, "lookups": in.lookups, "ready": in.ready, "peer": at(3)},
		"store":  map[string]string{"address": proxy.Addr()},
		"bounds": map[string]any{"grace": w.grace.String(), "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15,
			"strict_revoke": w.revoke > 0, "revoke": w.revoke.String()},
		"seeds": []string{w.network + "1:1", w.network + "2:1"}, "memory_mb": memoryLimit >> 20, "log": map[string]string{"level": "info"},
	})
	if err != nil {
		return err
	}
	in.config = filepath.Join(w.dir, in.name+".json")
	if err := os.WriteFile(in.config, text, 0o600); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(w.dir, in.name+".log")); err != nil {
		return err
	}
	w.Instances = append(w.Instances, in)
	return w.Start(in)
}

// Start starts the instance's first process.
func (w *Cluster) Start(in *Instance) error { return w.Restart(in, nil) }

// Restart starts a new process of the instance to replace the process ended. It
// does nothing if that process has already been replaced.
func (w *Cluster) Restart(in *Instance, ended *exec.Cmd) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != ended {
		return nil
	}
	cmd := exec.Command(w.binary, "serve", "-config", in.config)
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		return err
	}
	in.cmd, in.exitExpected, in.stopping, in.lastFault = cmd, false, time.Time{}, time.Now()
	in.incarnation++
	go func() {
		_ = cmd.Wait() // An unexpected exit counts whatever its status.
		in.mu.Lock()
		defer in.mu.Unlock()
		if in.cmd == cmd && !in.exitExpected {
			in.exits++
		}
	}()
	return nil
}

// process returns the instance's latest process.
func (in *Instance) process() *exec.Cmd {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd
}

// Signal sends a signal to the instance's process and returns the process.
// expected means that the process may exit.
func (in *Instance) Signal(s syscall.Signal, expected bool) *exec.Cmd {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.exitExpected = in.exitExpected || expected
	if s != syscall.SIGHUP {
		in.lastFault = time.Now()
	}
	if s == syscall.SIGTERM {
		in.stopping = time.Now()
	}
	_ = in.cmd.Process.Signal(s) // The process may have exited.
	return in.cmd
}

// noteFault records a fault of the instance or of its connection to the store.
func (in *Instance) noteFault() {
	in.mu.Lock()
	in.lastFault = time.Now()
	in.mu.Unlock()
}

// state returns the incarnation and the times that checks compare requests with.
func (in *Instance) state() (incarnation int, lastFault, stopping time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.incarnation, in.lastFault, in.stopping
}

// unexpectedExits returns how often a process of the instance exited without
// being told to.
func (in *Instance) unexpectedExits() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.exits
}

// AddEndpoint starts an endpoint and lists it. cold is the remaining time of its
// cold start.
func (w *Cluster) AddEndpoint(domain string, cold time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	cfg := standin.EndpointConfig{ID: fmt.Sprint("e", w.nextID), Service: "s", Domain: domain, Slots: 4, Queue: 8, ServiceTime: 15 * time.Millisecond}
	if w.endpoint != nil {
		w.endpoint(&cfg)
	}
	e, err := standin.StartEndpoint(cfg)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(e.Addr())
	if err != nil {
		return err
	}
	ep := &Endpoint{Endpoint: e, proxy: proxy, domain: domain}
	w.Endpoints = append(w.Endpoints, ep)
	w.listEndpoint(ep, false, cold)
	return nil
}

func (w *Cluster) listEndpoint(e *Endpoint, leaving bool, cold time.Duration) {
	addr := e.proxy.Addr()
	if w.direct {
		addr = e.Addr()
	}
	w.Store.PutEndpoint(e.Endpoint, addr, leaving, cold)
}

// rewriteRecords writes to the store what the operator and the endpoints have
// written before, and removes the records that they have removed.
func (w *Cluster) rewriteRecords() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putState()
	for _, d := range domains {
		if on := !w.evacuated[d].IsZero(); on != w.Store.Evacuated(d) {
			w.Store.Evacuate(d, on)
		}
	}
	for _, e := range w.Endpoints {
		if e.gone {
			w.Store.RemoveEndpoint(e.ID())
		} else {
			w.listEndpoint(e, !e.leaving.IsZero(), 0)
		}
	}
}

// removeEndpoint removes the entry of an endpoint from the store.
func (w *Cluster) removeEndpoint(e *Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.gone = true
	w.Store.RemoveEndpoint(e.ID())
}

// regions are the regions of the cluster.
var regions = []string{"a", "b"}

// The routes with these prefixes may run in one region only. The region of each
// changes with every version of the desired state.
const (
	regionalPrefix = "/regional/"
	nestedPrefix   = regionalPrefix + "nested/"
)

// allowedRegion returns the region in which a version of the desired state allows
// the path to run, or "" if it may run in all.
func allowedRegion(path string, version int) string {
	switch {
	case strings.HasPrefix(path, nestedPrefix):
		return regions[(version+1)%len(regions)]
	case strings.HasPrefix(path, regionalPrefix):
		return regions[version%len(regions)]
	}
	return ""
}

// PutNextState writes the next version of the desired state to the store. Besides
// the routes of all versions, each version has a route of its own.
func (w *Cluster) PutNextState() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.putState()
	w.acked[w.version] = time.Now()
}

// putState writes the desired state to the store. The caller holds mu.
func (w *Cluster) putState() {
	if w.routes != nil {
		w.Store.PutDesiredState(w.version, 5, []string{"s"}, w.routes(w.version), w.tenants...)
		return
	}
	route := func(name, prefix string, repeatable bool) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: prefix, Repeatable: repeatable, Service: "s",
			Timeout: callerTimeout, Target: 300 * time.Millisecond}
	}
	regional := func(name, prefix string) standin.Route {
		r := route(name, prefix, true)
		r.Regions = []string{allowedRegion(prefix, w.version)}
		return r
	}
	w.Store.PutDesiredState(w.version, 5, []string{"s"}, []standin.Route{route("safe", "/safe/", true), route("pay", "/pay/", false),
		route("only", fmt.Sprintf("/only-%d/", w.version), true), regional("regional", regionalPrefix), regional("nested", nestedPrefix)}, w.tenants...)
}

// Close stops the instances, endpoints, proxies and the store, and releases the
// ports.
func (w *Cluster) Close() error {
	for _, in := range w.Instances {
		in.Signal(syscall.SIGCONT, true)
		in.Signal(syscall.SIGKILL, true)
		in.storeProxy.Close()
		in.callerProxy.Close()
		_ = in.log.Close()
	}
	for _, e := range w.Endpoints {
		e.proxy.Close()
		e.Close()
	}
	w.Store.Close()
	var errs []error
	for _, p := range w.ports {
		errs = append(errs, p.Release())
	}
	return errors.Join(errs...)
}

// residentMemory returns the resident memory of the instance's process in bytes.
func (in *Instance) residentMemory() int {
	in.mu.Lock()
	pid := in.cmd.Process.Pid
	in.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // The process has ended.
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}
