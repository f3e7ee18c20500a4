package serve_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/logtest"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/serve"
	"jujubestile.example/jujubestile/platform/standin"
)

// world is a store, endpoints and instances on loopback.
type world struct {
	t         *testing.T
	store     *standin.Store
	endpoints []*standin.Endpoint
	instances []*instance
	version   int
	logs      *logtest.Buffer
	peerPort  uint16
}

type instance struct {
	settings serve.Settings
	stop     context.CancelFunc
	done     chan error
}

var domains = map[model.Domain]model.Region{"a1": "a", "a2": "a", "b1": "b"}

func newWorld(t *testing.T, instances, endpoints int) *world {
	t.Helper()
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, store: store, logs: &logtest.Buffer{}}
	t.Cleanup(w.close)
	w.peerPort = freePort(t, "127.9.1.1")
	for i := range endpoints {
		w.addEndpoint(fmt.Sprint("e", i), []string{"a1", "a2", "b1"}[i%3])
	}
	w.writeState("s")
	for i := range instances {
		w.start(i)
	}
	for _, in := range w.instances {
		w.eventually("instance is ready", func() bool { return status("http://"+in.settings.Listen.Ready.String()+"/ready") == 200 })
	}
	return w
}

func (w *world) close() {
	for _, in := range w.instances {
		in.stop()
	}
	for _, in := range w.instances {
		<-in.done
	}
	for _, e := range w.endpoints {
		e.Close()
	}
	w.store.Close()
}

func (w *world) addEndpoint(id, domain string) *standin.Endpoint {
	w.t.Helper()
	e, err := standin.StartEndpoint(standin.EndpointConfig{ID: id, Service: "s", Domain: domain, Slots: 4, Queue: 8, ServiceTime: 10 * time.Millisecond, CrashPath: "/pay/crash"})
	if err != nil {
		w.t.Fatal(err)
	}
	w.endpoints = append(w.endpoints, e)
	w.store.PutEndpoint(e, e.Addr(), false, 0)
	return e
}

// writeState puts a newer desired state whose routes go to the service.
func (w *world) writeState(service string, extra ...string) {
	w.version++
	route := func(name, prefix string, repeatable bool) standin.Route {
		return standin.Route{Name: name, Host: "h.example", Prefix: prefix, Repeatable: repeatable, Service: service,
			Timeout: 800 * time.Millisecond, Target: 200 * time.Millisecond}
	}
	routes := []standin.Route{route("safe", "/safe/", true), route("pay", "/pay/", false)}
	for _, path := range extra {
		routes = append(routes, route(path, path, true))
	}
	w.store.PutDesiredState(w.version, 5, []string{"s", "other"}, routes)
}

func freePort(t *testing.T, ip string) uint16 {
	t.Helper()
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String()).Port()
}

// the same port for messages.
func (w *world) start(i int) *instance {
	w.t.Helper()
	ip := fmt.Sprintf("127.9.1.%d", i+1)
	addr := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), port) }
	domain := []model.Domain{"a1", "a2", "b1"}[i%3]
	s := serve.Settings{Instance: model.InstanceID(fmt.Sprint("i", i)), Region: domains[domain], Domain: domain, Domains: domains,
		Listen: serve.Listen{Requests: addr(freePort(w.t, ip)), Ready: addr(freePort(w.t, ip)), Lookups: addr(freePort(w.t, ip)),
			Metrics: addr(freePort(w.t, ip)), Peer: addr(w.peerPort)},
		Store: serve.StoreSettings{Address: netip.MustParseAddrPort(w.store.Addr())},
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.9.1.1:1"), netip.MustParseAddrPort("127.9.1.2:1")},
		Bounds: serve.Bounds{Grace: serve.Duration(2 * time.Second), RetryRatio: 0.2, RetrySlack: 120,
			RetryWindow: serve.Duration(10 * time.Second), MaxShift: 0.15}}
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{settings: s, stop: cancel, done: make(chan error, 1)}
	run := serve.New(s, events.New(w.logs, zerolog.DebugLevel, string(s.Instance)))
	go func() { in.done <- run.Run(ctx); close(in.done) }()
	w.instances = append(w.instances, in)
	return in
}

func status(url string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not so within 5 s: %s", what)
}

var lastID int

var idMu sync.Mutex

// send sends a request to an instance and returns its ID, status and body.
func (w *world) send(in *instance, method, path string) (id string, code int, body string) {
	return w.sendBody(in, method, path, "")
}

// sendBody sends a request with the given body; empty: the request's ID.
func (w *world) sendBody(in *instance, method, path, content string) (id string, code int, body string) {
	idMu.Lock()
	lastID++
	id = "r" + strconv.Itoa(lastID)
	idMu.Unlock()
	req := standin.NewRequest(method, in.settings.Listen.Requests.String(), "h.example", path, id,
		strconv.Itoa(rand.IntN(5)), time.Second)
	if content != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(content)), int64(len(content))
	}
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		return id, 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return id, resp.StatusCode, string(text)
}

func (w *world) lookup(in *instance, region string) []string {
	a, err := standin.Lookup(http.DefaultClient, in.settings.Listen.Lookups.String(), "h.example", region, "a1")
	if err != nil {
		return nil // The caller asks again.
	}
	return a
}

func (w *world) runs(id string) int {
	n := 0
	for _, e := range w.endpoints {
		n += e.Runs()[id]
	}
	return n
}
