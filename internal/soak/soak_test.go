package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/platform/standin"
)

var (
	first     = flag.Uint64("soak.first", 1, "first seed")
	seeds     = flag.Uint64("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.length", 8*time.Second, "time in which faults begin")
	instances = flag.Int("soak.instances", 6, "processes")
	callers   = flag.Int("soak.callers", 12, "callers")
	again     = flag.Bool("soak.regressions", false, "play the seeds that failed once, too")
	keep      = flag.String("soak.keep", "", "folder that keeps the logs of all runs; default: of failed ones, in the temporary folder")
)

// regressions are seeds that failed once; docs/soak.md tells the causes. They
// are played with -soak.regressions.
var regressions = []uint64{
	5,  // Two faults that kill all instances overlap: a process was started twice.
	12, // The same.
	13, // The same.
}

const (
	// recoverBound is the promise: service within this time after all faults.
	recoverBound = 15 * time.Second
	// recoverShare is the share of requests that must be answered then.
	recoverShare = 0.9
)

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jujubestiled")
	cmd := exec.Command("go", "build", "-o", binary, "jujubestile.example/jujubestile/cmd/jujubestiled")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return binary
}

func TestSoak(t *testing.T) {
	binary := build(t)
	var list []uint64
	if *again {
		list = append(list, regressions...)
	}
	for i := range *seeds {
		list = append(list, *first+i)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

func play(t *testing.T, binary string, seed uint64) {
	dir := *keep
	if dir == "" {
		dir = os.TempDir()
	}
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	w, err := NewCluster(binary, dir, seed, *instances, 8)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	c := &Callers{world: w}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx, *callers, seed) }()
	bounds := make(chan []Violation, 1)
	go func() { bounds <- watch(ctx, w, c) }()

	time.Sleep(time.Second)
	faults := Schedule(seed, *length)
	w.InjectFaults(ctx, faults)
	recovered := waitForService(c)
	stop()
	<-done
	// Work that goes on without its caller has ended by then.
	time.Sleep(callerWait)
	found := append(<-bounds, w.Check(c.Requests())...)
	if !recovered {
		found = append(found, Violation{"recovery", fmt.Sprintf("under %.0f %% answered %s after the last fault", 100*recoverShare, recoverBound)})
	}
	ok, refused, failed := summary(c.Requests())
	t.Logf("seed %d: %d faults, %d answered, %d not run, %d failed; by status %v (0: no answer, -1: no connection)",
		seed, len(faults), ok, refused, failed, statuses(c.Requests()))
	if len(found) == 0 {
		if *keep == "" {
			_ = os.RemoveAll(dir)
		}
		return
	}
	for _, f := range faults {
		t.Log(f)
	}
	for i, v := range found {
		if i == 10 {
			t.Errorf("and %d more", len(found)-i)
			break
		}
		t.Error(v)
	}
	t.Logf("logs in %s; again: go test ./internal/soak -run TestSoak -soak.first %d", dir, seed)
}

// watch applies the bounds to each request as it ends.
func watch(ctx context.Context, w *Cluster, c *Callers) []Violation {
	var out []Violation
	n := 0
	for {
		log := c.Requests()
		for _, r := range log[n:] {
			out = append(out, w.watchBounds(r)...)
		}
		n = len(log)
		select {
		case <-ctx.Done():
			return out
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// waitForService waits until most requests of a second are answered.
func waitForService(c *Callers) bool {
	for end := time.Now().Add(recoverBound); time.Now().Before(end); {
		before := len(c.Requests())
		time.Sleep(time.Second)
		log := c.Requests()[before:]
		ok, _, _ := summary(log)
		if len(log) >= 20 && float64(ok) >= recoverShare*float64(len(log)) {
			return true
		}
	}
	return false
}

// summary counts answers, refusals and other ends. The 404 of a route that
// another state has is an answer.
func summary(log []Request) (ok, refused, failed int) {
	for _, r := range log {
		switch {
		case r.Status == 200, r.Status == 404:
			ok++
		case promisesNotRun(r.Status):
			refused++
		default:
			failed++
		}
	}
	return ok, refused, failed
}

// Each check fails on a history that breaks its promise.
func TestChecksFail(t *testing.T) {
	e, err := standin.StartEndpoint(standin.EndpointConfig{ID: "e1", Service: "s", Domain: "a1", Slots: 4, Queue: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	run := func(id string) {
		resp, err := http.DefaultClient.Do(standin.NewRequest("POST", e.Addr(), host, "/pay/x", id, "", callerWait))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	for _, id := range []string{"twice", "twice", "refused", "other", "late", "good"} {
		run(id)
	}
	now := time.Now()
	in := &Instance{name: "i1", incarnation: 1, cmd: &exec.Cmd{Process: &os.Process{Pid: 1 << 30}}}
	old := now.Add(-time.Minute)
	w := &Cluster{Instances: []*Instance{in}, Endpoints: []*Endpoint{{Endpoint: e, domain: "a1", leaving: now.Add(-10 * time.Second)}},
		version: 3, acked: map[int]time.Time{3: old}, evacuated: map[string]time.Time{"a1": now.Add(-10 * time.Second)}}
	r := func(id, path string, status int, body string, after time.Duration) Request {
		return Request{ID: id, Path: path, Unsafe: path == "/pay/x", Instance: in, Incarnation: 1, Status: status, Body: body,
			Sent: now.Add(after), Ended: now.Add(after + time.Millisecond)}
	}
	promises := func(found []Violation) (out []string) {
		for _, v := range found {
			out = append(out, v.Guarantee)
		}
		return out
	}
	for _, c := range []struct {
		name string
		log  []Request
		want string
	}{
		{"ran twice", []Request{r("twice", "/pay/x", 200, "answer to twice by e1", 0)}, "[at most once]"},
		{"refused and ran", []Request{r("refused", "/pay/x", 503, "", 0)}, "[not run]"},
		{"another's answer", []Request{r("other", "/pay/x", 200, "answer to good by e1", 0)}, "[own answer]"},
		{"ran nowhere", []Request{r("never", "/pay/x", 200, "answer to never by e1", 0)}, "[own answer]"},
		{"older after newer", []Request{r("good", "/only-3/x", 200, "answer to good by e1", 0), r("late", "/only-2/x", 200, "answer to late by e1", time.Second)}, "[never reverts]"},
		{"all well", []Request{r("good", "/pay/x", 200, "answer to good by e1", 0)}, "[]"},
	} {
		if got := fmt.Sprint(promises(w.Check(c.log))); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	for _, c := range []struct {
		name string
		r    Request
		want string
	}{
		{"leaving endpoint in an evacuated failure domain", r("good", "/pay/x", 200, "answer to good by e1", 0), "[leaving evacuation]"},
		{"new route not in force", r("good", "/only-3/x", 404, "", 0), "[in force]"},
		{"older route", r("good", "/only-2/x", 404, "", 0), "[]"},
	} {
		if got := fmt.Sprint(promises(w.watchBounds(c.r))); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	w.Endpoints[0].foreign = true
	if got := fmt.Sprint(promises(w.Check(nil))); got != "[right service]" {
		t.Errorf("runs at another service: %s", got)
	}
	w.Endpoints[0].foreign = false
	in.exits = 1
	if got := fmt.Sprint(promises(w.Check(nil))); got != "[stays up]" {
		t.Errorf("own end: %s", got)
	}
	in.harm()
	if got := w.watchBounds(r("good", "/pay/x", 200, "answer to good by e1", 0)); len(got) != 0 {
		t.Errorf("an instance that was harmed a moment ago is held to the bounds: %v", got)
	}
}

// statuses counts the ends of requests.
func statuses(log []Request) map[int]int {
	out := map[int]int{}
	for _, r := range log {
		status := r.Status
		if errors.Is(r.Err, syscall.ECONNREFUSED) {
			status = -1
		}
		out[status]++
	}
	return out
}

// A seed decides the schedule.
func TestScheduleIsFixedBySeed(t *testing.T) {
	a, b := Schedule(5, 20*time.Second), Schedule(5, 20*time.Second)
	if fmt.Sprint(a) != fmt.Sprint(b) || len(a) < 20 {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	for _, k := range kindNames {
		if kinds[k] == nil {
			t.Errorf("kind %q is not known", k)
		}
	}
}
