package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// host is the host of all routes.
const host = "h.example"

// Domains of the world and their regions.
var domains = []string{"a1", "a2", "b1", "b2"}

func regionOf(domain string) string { return domain[:1] }

const (
	// drainBound, evacuateBound and configBound are the promises of the
	// platform's pages, from the store's acknowledgement on.
	drainBound    = 2500 * time.Millisecond
	evacuateBound = 5 * time.Second
	configBound   = 2500 * time.Millisecond
	// inTouch is how long an instance and the store must have been unharmed
	// for the bounds to hold.
	inTouch = 3 * time.Second
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// memoryLimit is that of the users' machines.
	memoryLimit = 206 << 20
)

// Cluster is a store, endpoints and instances.
type Cluster struct {
	binary, dir string
	// net is the loopback network of the instances.
	net       string
	Store     *standin.Store
	Instances []*Instance

	mu        sync.Mutex
	Endpoints []*Endpoint
	nextID    int
	version   int
	// acked is when each desired state was acknowledged.
	acked map[int]time.Time
	// storeHarmed is when the store was last harmed.
	storeHarmed time.Time
	// evacuated holds when an evacuation was acknowledged.
	evacuated map[string]time.Time
}

// Instance is a process of the program.
type Instance struct {
	name, ip, domain string
	entry, lookups   string
	config           string
	// store is its way to the store, front that of callers to it.
	store, front *Proxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	// harmed is when the process, or its way to the store, was last harmed.
	harmed time.Time
	// expected means that the process has been told to end.
	expected bool
	// stopping is when SIGTERM was sent; zero if it was not.
	stopping time.Time
	exits    int
	log      *os.File
}

// Endpoint is an endpoint behind a proxy.
type Endpoint struct {
	*standin.Endpoint
	proxy  *Proxy
	domain string
	// leaving is when its leaving was acknowledged; zero if it stays.
	leaving time.Time
	gone    bool
	// foreign endpoints belong to a service to which no route leads.
	foreign bool
}

// NewCluster starts a store, endpoints and instances. Worlds of other seeds can
// run at the same time.
func NewCluster(binary, dir string, seed uint64, instances, endpoints int) (*Cluster, error) {
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Cluster{binary: binary, dir: dir, net: fmt.Sprintf("127.8.%d.", seed%250), Store: store, acked: map[int]time.Time{}, evacuated: map[string]time.Time{}}
	for i := range endpoints {
		if err := w.AddEndpoint(domains[i%len(domains)], 0); err != nil {
			return nil, err
		}
	}
	w.PutNextState()
	ports, err := freePorts(w.net+"1", 4)
	if err != nil {
		return nil, err
	}
	for i := range instances {
		if err := w.addInstance(i, ports); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		p, _ := strconv.Atoi(port)
		ports = append(ports, p)
	}
	return ports, nil
}

func (w *Cluster) addInstance(i int, ports []int) error {
	proxy, err := NewProxy(w.Store.Addr())
	if err != nil {
		return err
	}
	in := &Instance{name: fmt.Sprint("i", i), ip: fmt.Sprint(w.net, i+1), domain: domains[i%len(domains)], store: proxy}
	at := func(port int) string { return fmt.Sprintf("%s:%d", in.ip, port) }
	in.entry, in.lookups = at(ports[0]), at(ports[1])
	if in.front, err = NewProxy(in.entry); err != nil {
		return err
	}
	regions := map[string]string{}
	for _, d := range domains {
		regions[d] = regionOf(d)
	}
	text, err := json.Marshal(map[string]any{
		"instance": in.name, "region": regionOf(in.domain), "domain": in.domain, "domains": regions,
		"listen": map[string]string{"requests": in.entry, "lookups": in.lookups, "ready": at(ports[2]), "peer": at(ports[3])},
		"store":  map[string]string{"address": proxy.Addr()},
		"bounds": map[string]any{"grace": grace.String(), "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15},
		"seeds":  []string{w.net + "1:1", w.net + "2:1"}, "memory_mb": memoryLimit >> 20, "log": map[string]string{"level": "info"},
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

// Restart starts the instance again after the end of a process. It does
// nothing if another one has been started since.
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
	in.cmd, in.expected, in.stopping, in.harmed = cmd, false, time.Time{}, time.Now()
	in.incarnation++
	go func() {
		_ = cmd.Wait() // The end is judged below, whatever its status.
		in.mu.Lock()
		defer in.mu.Unlock()
		if in.cmd == cmd && !in.expected {
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

// Signal sends a signal to the instance's process, which it returns. expected
// means that it may end.
func (in *Instance) Signal(s syscall.Signal, expected bool) *exec.Cmd {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.expected = in.expected || expected
	if s != syscall.SIGHUP {
		in.harmed = time.Now()
	}
	if s == syscall.SIGTERM {
		in.stopping = time.Now()
	}
	_ = in.cmd.Process.Signal(s) // A process that has ended cannot be told.
	return in.cmd
}

// harm notes that the instance or its way to the store is harmed now.
func (in *Instance) harm() {
	in.mu.Lock()
	in.harmed = time.Now()
	in.mu.Unlock()
}

// state returns what checks need of the instance.
func (in *Instance) state() (incarnation int, harmed, stopping time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.incarnation, in.harmed, in.stopping
}

// ownExits is how often a process of the instance ended without being told.
func (in *Instance) ownExits() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.exits
}

// AddEndpoint starts an endpoint and lists it.
func (w *Cluster) AddEndpoint(domain string, cold time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	e, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("e", w.nextID), Service: "s", Domain: domain,
		Slots: 4, Queue: 8, ServiceTime: 15 * time.Millisecond})
	if err != nil {
		return err
	}
	proxy, err := NewProxy(e.Addr())
	if err != nil {
		return err
	}
	ep := &Endpoint{Endpoint: e, proxy: proxy, domain: domain}
	w.Endpoints = append(w.Endpoints, ep)
	w.list(ep, false, cold)
	return nil
}

func (w *Cluster) list(e *Endpoint, leaving bool, cold time.Duration) {
	w.Store.PutEndpoint(e.Endpoint, e.proxy.Addr(), leaving, cold)
}

// PutNextState writes a desired state with a new version. Each version has a
// route of its own besides the lasting ones.
func (w *Cluster) PutNextState() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, prefix string, repeatable bool) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: prefix, Repeatable: repeatable, Service: "s",
			Timeout: callerWait, Target: 300 * time.Millisecond}
	}
	w.Store.PutDesiredState(w.version, 5, []string{"s"}, []standin.Route{route("safe", "/safe/", true), route("pay", "/pay/", false),
		route("only", fmt.Sprintf("/only-%d/", w.version), true)})
	w.acked[w.version] = time.Now()
}

// Close ends all that the world has started, by process.
func (w *Cluster) Close() {
	for _, in := range w.Instances {
		in.Signal(syscall.SIGCONT, true)
		in.Signal(syscall.SIGKILL, true)
		in.store.Close()
		in.front.Close()
		_ = in.log.Close()
	}
	for _, e := range w.Endpoints {
		e.proxy.Close()
		e.Close()
	}
	w.Store.Close()
}

// resident returns the memory that the instance's process uses.
func (in *Instance) resident() int {
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
