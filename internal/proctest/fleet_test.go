package proctest

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/freeport"
	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/standin"
	"jujubestile.example/jujubestile/internal/store"
	platformstandin "jujubestile.example/jujubestile/platform/standin"
)

// binary is the path of the daemon, which is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "jujubestiled")
	build := exec.Command("go", "build", "-o", binary, "jujubestile.example/jujubestile/cmd/jujubestiled")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building the daemon: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

type fleetConfig struct {
	// instances is the number of daemon processes, endpoints that of stand-in
	// endpoints.
	instances, endpoints int
	serviceTime          time.Duration
}

// fleet is a set of daemon processes with stand-ins for the platform.
type fleet struct {
	t         testing.TB
	kv        *standin.KV
	platform  *standin.Platform
	storeURL  string
	listURL   string
	endpoints []*standin.Endpoint
	records   []instancelist.EndpointRecord
	instances []*process
	// rules is the text of the first rules document.
	rules string
}

// process is an instance of the daemon and its latest process.
type process struct {
	id                               model.InstanceID
	entryAddr, peerAddr, controlAddr string
	config                           string
	cmd                              *exec.Cmd
	log                              *os.File
	exited                           chan error
}

// blocksPerRegion is the number of address blocks of callers in a region. Lookups
// choose an instance for each block, so several blocks are needed for all
// instances to receive requests.
const blocksPerRegion = 6

var fleetRegions = []model.Region{"lagos", "abuja", "port-harcourt"}

// failureDomain returns the failure domain of the i-th instance or endpoint. Each
// region has two.
func failureDomain(r model.Region, i int) model.Domain {
	return model.Domain(fmt.Sprintf("%s-%c", r, 'a'+i/len(fleetRegions)%2))
}

func newFleet(t testing.TB, cfg fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, kv: standin.NewKV(), platform: standin.NewPlatform()}
	storeSrv := httptest.NewServer(platformstandin.KVHandler(f.kv))
	listSrv := httptest.NewServer(f.platform)
	f.storeURL, f.listURL = storeSrv.URL, listSrv.URL
	t.Cleanup(func() {
		storeSrv.CloseClientConnections()
		storeSrv.Close()
		listSrv.CloseClientConnections()
		listSrv.Close()
	})
	for i := range cfg.endpoints {
		f.addEndpoint(i, cfg.serviceTime)
	}
	for i := range cfg.instances {
		f.addInstance(i)
	}
	f.platform.Publish()
	f.putRules(cfg)
	for _, p := range f.instances {
		f.start(p)
	}
	return f
}

// putRules stores the first rules document.
func (f *fleet) putRules(cfg fleetConfig) {
	var b strings.Builder
	for i, r := range fleetRegions {
		fmt.Fprintf(&b, "region %s %s,%s # test\n", r, failureDomain(r, 0), failureDomain(r, len(fleetRegions)))
		for j := range blocksPerRegion {
			fmt.Fprintf(&b, "callers 10.%d.%d.0/24 %s # test\n", i+1, j, r)
		}
		slots := 4 * ((cfg.endpoints + len(fleetRegions) - 1 - i) / len(fleetRegions))
		if slots > 0 {
			fmt.Fprintf(&b, "capacity %s entries %d # test\n", r, slots)
		}
	}
	b.WriteString("service entries priority 1 # test\n")
	doc := configsync.Document{Head: configsync.Head{Revision: 1, EditID: "first", Author: "test", Time: time.Now()}, Text: b.String()}
	f.rules = doc.Text
	value, err := doc.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.kv.CompareAndSwap(f.t.Context(), configsync.Key, store.Absent, value, 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) addEndpoint(i int, serviceTime time.Duration) {
	e, err := standin.StartEndpoint("127.0.0.1:0", standin.EndpointConfig{Slots: 4, Queue: 4, ServiceTime: serviceTime})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(e.Stop)
	f.endpoints = append(f.endpoints, e)
	region := fleetRegions[i%len(fleetRegions)]
	rec := instancelist.EndpointRecord{
		ID: model.EndpointID(fmt.Sprintf("entries-%d", i)), Service: "entries", Region: region,
		Domain: failureDomain(region, i), Addr: e.Addr(), Slots: 4, State: "live",
	}
	f.records = append(f.records, rec)
	f.platform.PutEndpoint(rec)
}

func (f *fleet) addInstance(i int) {
	region := fleetRegions[i%len(fleetRegions)]
	domain := failureDomain(region, i)
	p := &process{
		id:        model.InstanceID(fmt.Sprintf("%s-%d", domain, i)),
		entryAddr: reserveAddr(f.t), peerAddr: reserveAddr(f.t), controlAddr: reserveAddr(f.t),
		config: filepath.Join(f.t.TempDir(), "settings.json"),
	}
	text := fmt.Sprintf(`{"instance": %q, "region": %q, "domain": %q,
		"listen": {"entry": %q, "peer": %q, "control": %q},
		"store": %q, "platform": {"url": %q, "poll": "200ms"},
		"shutdown": {"announce": "1s", "grace": "10s"}, "log": {"level": "info"}}`,
		p.id, region, domain, p.entryAddr, p.peerAddr, p.controlAddr, f.storeURL, f.listURL)
	if err := os.WriteFile(p.config, []byte(text), 0o644); err != nil {
		f.t.Fatal(err)
	}
	f.instances = append(f.instances, p)
	f.platform.PutEntry(instancelist.EntryRecord{
		ID: p.id, Region: region, Domain: domain,
		EntryAddr: netip.MustParseAddrPort(p.entryAddr), PeerAddr: netip.MustParseAddrPort(p.peerAddr),
		ControlAddr: netip.MustParseAddrPort(p.controlAddr), State: "live",
	})
}

// reserveAddr returns a loopback address with a port that is reserved until the
// end of the test, also while no process of the instance runs.
func reserveAddr(t testing.TB) string {
	t.Helper()
	p, err := freeport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Release(); err != nil {
			t.Error(err)
		}
	})
	return p.Loopback().String()
}

// start starts a new process of the instance. Its log is printed if the test
// fails.
func (f *fleet) start(p *process) {
	f.t.Helper()
	f.startCommand(p, exec.Command(binary, "run", "-config", p.config))
}

// startCommand is start with another command.
func (f *fleet) startCommand(p *process, cmd *exec.Cmd) {
	f.t.Helper()
	log, err := os.CreateTemp(f.t.TempDir(), "log")
	if err != nil {
		f.t.Fatal(err)
	}
	p.log = log
	p.cmd = cmd
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.exited = make(chan error, 1)
	exited := p.exited
	go func() { exited <- cmd.Wait() }()
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		if f.t.Failed() {
			text, _ := os.ReadFile(log.Name())
			f.t.Logf("log of %s:\n%s", p.id, text)
		}
	})
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// control returns a client of the processes' control interface.
func (f *fleet) control(ps ...*process) *control.Client {
	f.t.Helper()
	var addrs []string
	for _, p := range ps {
		addrs = append(addrs, p.controlAddr)
	}
	c, err := control.NewClient(addrs)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// readyTimeout limits how long a process may take to become ready. Without the
// store, an instance is confirmed only after 20 s of uninterrupted presence in
// the platform's list, so that it does not use slots which another instance has
// reclaimed.
const readyTimeout = 30 * time.Second

// awaitReady waits until the processes report that they are ready. It fails the
// test if one exits before.
func (f *fleet) awaitReady(ps ...*process) {
	f.t.Helper()
	for _, p := range ps {
		eventually(f.t, readyTimeout, "readiness of "+string(p.id), func() bool {
			select {
			case err := <-p.exited:
				f.t.Fatalf("%s exited before it was ready: %v", p.id, err)
			default:
			}
			st, err := f.control(p).Status(f.t.Context())
			return err == nil && st.Ready
		})
	}
}

// runs returns how often each request ran, over all endpoints.
func (f *fleet) runs() map[string]int {
	out := make(map[string]int)
	for _, e := range f.endpoints {
		for id, n := range e.Runs() {
			out[id] += n
		}
	}
	return out
}
