package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/platform/standin"
)

var (
	first           = flag.Uint64("soak.first", 1, "first seed")
	seeds           = flag.Uint64("soak.seeds", 1, "number of seeds")
	length          = flag.Duration("soak.length", 8*time.Second, "period in which faults start")
	instances       = flag.Int("soak.instances", 6, "number of instances")
	callers         = flag.Int("soak.callers", 12, "number of callers")
	withRegressions = flag.Bool("soak.regressions", false, "also run the seeds that failed in the past")
	keep            = flag.String("soak.keep", "", "directory for the logs of all runs; by default only failed runs keep theirs, in the temporary directory")
)

// regressionSeeds failed in the past; docs/soak.md describes the causes. They
// run with -soak.regressions.
var regressionSeeds = []uint64{
	5,  // Two overlapping "kill all" faults started a process twice.
	12, // Same cause.
	13, // Same cause.
}

const (
	// recoveryTimeout is the time after the last fault within which the service
	// must recover.
	recoveryTimeout = 15 * time.Second
	// recoveryShare is the share of requests that must be answered for the
	// service to count as recovered.
	recoveryShare = 0.9
)

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "jujubestiled")
	cmd := exec.Command("go", "build", "-o", binary, "jujubestile.example/jujubestile/cmd/jujubestiled")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return binary
}

func TestSoak(t *testing.T) {
	binary := buildDaemon(t)
	var list []uint64
	if *withRegressions {
		list = append(list, regressionSeeds...)
	}
	for i := range *seeds {
		list = append(list, *first+i)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
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
	defer func() {
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	}()
	c := &Callers{cluster: w}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx, *callers, seed) }()
	exceeded := make(chan []Violation, 1)
	go func() { exceeded <- watchBounds(ctx, w, c) }()

	time.Sleep(time.Second)
	faults := Schedule(seed, *length)
	w.InjectFaults(ctx, faults)
	recovered := awaitRecovery(c)
	stop()
	<-done
	// Requests whose callers have disconnected may run until their deadline.
	time.Sleep(callerTimeout)
	found := append(<-exceeded, w.Check(c.Requests())...)
	if !recovered {
		found = append(found, Violation{"recovery", fmt.Sprintf("less than %.0f %% of requests answered %s after the last fault", 100*recoveryShare, recoveryTimeout)})
	}
	ok, notRun, failed := countOutcomes(c.Requests())
	t.Logf("seed %d: %d faults, %d answered, %d not run, %d failed; by status %v (0: no response, -1: connection refused)",
		seed, len(faults), ok, notRun, failed, countStatuses(c.Requests()))
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
	t.Logf("logs in %s; to reproduce: go test ./internal/soak -run TestSoak -soak.first %d", dir, seed)
}

// watchBounds calls checkBounds for each request soon after it has ended. It
// returns the violations when the context ends.
func watchBounds(ctx context.Context, w *Cluster, c *Callers) []Violation {
	var out []Violation
	n := 0
	for {
		log := c.Requests()
		for _, r := range log[n:] {
			out = append(out, w.checkBounds(r)...)
		}
		n = len(log)
		select {
		case <-ctx.Done():
			return out
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// awaitRecovery waits for a second in which at least 20 requests end and at least
// recoveryShare of them are answered. It reports whether there is one within
// recoveryTimeout.
func awaitRecovery(c *Callers) bool {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); {
		before := len(c.Requests())
		time.Sleep(time.Second)
		log := c.Requests()[before:]
		ok, _, _ := countOutcomes(log)
		if len(log) >= 20 && float64(ok) >= recoveryShare*float64(len(log)) {
			return true
		}
	}
	return false
}

// countOutcomes counts the requests that were answered, that were reported as not
// run, and that failed in another way. A 404 counts as answered: the route may
// belong to another version of the desired state.
func countOutcomes(log []Request) (ok, notRun, failed int) {
	for _, r := range log {
		switch {
		case r.Status == 200, r.Status == 404:
			ok++
		case meansNotRun(r.Status):
			notRun++
		default:
			failed++
		}
	}
	return ok, notRun, failed
}

// Guards against checks that miss violations: each check is given a history that
// violates its guarantee.
func TestChecksDetectViolations(t *testing.T) {
	e, err := standin.StartEndpoint(standin.EndpointConfig{ID: "e1", Service: "s", Domain: "a1", Slots: 4, Queue: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	run := func(id string) {
		resp, err := http.DefaultClient.Do(standin.NewRequest("POST", e.Addr(), host, "/pay/x", id, "", callerTimeout))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	for _, id := range []string{"twice", "twice", "refused", "other", "late", "good", "abroad"} {
		run(id)
	}
	now := time.Now()
	in := &Instance{name: "i1", incarnation: 1, cmd: &exec.Cmd{Process: &os.Process{Pid: 1 << 30}}}
	old := now.Add(-time.Minute)
	w := &Cluster{Instances: []*Instance{in}, Endpoints: []*Endpoint{{Endpoint: e, domain: "a1", leaving: now.Add(-10 * time.Second)}},
		version: 3, acked: map[int]time.Time{2: old, 3: old}, evacuated: map[string]time.Time{"a1": now.Add(-10 * time.Second)}}
	r := func(id, path string, status int, body string, after time.Duration) Request {
		return Request{ID: id, Path: path, Unsafe: path == "/pay/x", Instance: in, Incarnation: 1, Status: status, Body: body,
			Sent: now.Add(after), Ended: now.Add(after + time.Millisecond)}
	}
	guarantees := func(found []Violation) (out []string) {
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
		{"reported as not run but ran", []Request{r("refused", "/pay/x", 503, "", 0)}, "[not run]"},
		{"response to another request", []Request{r("other", "/pay/x", 200, "answer to good by e1", 0)}, "[own answer]"},
		{"answered but never ran", []Request{r("never", "/pay/x", 200, "answer to never by e1", 0)}, "[own answer]"},
		{"older state after a newer one", []Request{r("good", "/only-3/x", 200, "answer to good by e1", 0), r("late", "/only-2/x", 200, "answer to late by e1", time.Second)}, "[never reverts]"},
		{"no violation", []Request{r("good", "/pay/x", 200, "answer to good by e1", 0)}, "[]"},
	} {
		if got := fmt.Sprint(guarantees(w.Check(c.log))); got != c.want {
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
		{"outside the allowed region", r("abroad", "/regional/x", 500, "", 0), "[allowed region]"},
		{"in the allowed region", r("abroad", "/regional/nested/x", 500, "", 0), "[]"},
		{"older route", r("good", "/only-2/x", 404, "", 0), "[]"},
	} {
		if got := fmt.Sprint(guarantees(w.checkBounds(c.r))); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	w.Endpoints[0].leaving, w.evacuated = time.Time{}, nil
	w.Endpoints[0].rateLimit, w.Endpoints[0].limitedSince = 1, old
	for i := range 12 {
		want := "[]"
		if i == 11 { // 1.5 times 4 requests and 5 more are allowed.
			want = "[rate limit]"
		}
		if got := fmt.Sprint(guarantees(w.checkBounds(r("good", "/pay/x", 200, "answer to good by e1", time.Duration(i)*100*time.Millisecond)))); got != want {
			t.Errorf("request %d at an endpoint with a rate limit: %s, want %s", i+1, got, want)
		}
	}
	w.Endpoints[0].otherService = true
	if got := fmt.Sprint(guarantees(w.Check(nil))); got != "[right service]" {
		t.Errorf("request run by another service: %s", got)
	}
	w.Endpoints[0].otherService = false
	in.exits = 1
	if got := fmt.Sprint(guarantees(w.Check(nil))); got != "[stays up]" {
		t.Errorf("unexpected exit: %s", got)
	}
	in.noteFault()
	if got := w.checkBounds(r("good", "/pay/x", 200, "answer to good by e1", 0)); len(got) != 0 {
		t.Errorf("time limits applied to an instance with a recent fault: %v", got)
	}
}

// countStatuses counts requests by status; 0 means that there was no response,
// and -1 that the connection was refused.
func countStatuses(log []Request) map[int]int {
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

// Guards against schedules that differ between runs with the same seed, and
// against kinds of faults without an injector.
func TestScheduleIsFixedBySeed(t *testing.T) {
	a, b := Schedule(5, 20*time.Second), Schedule(5, 20*time.Second)
	if fmt.Sprint(a) != fmt.Sprint(b) || len(a) < 20 {
		t.Fatalf("schedules of the same seed differ or are too short: %d and %d faults", len(a), len(b))
	}
	for _, k := range slices.Concat(faultKinds, addedKinds, restoreKinds) {
		if injectors[k] == nil {
			t.Errorf("no injector for fault kind %q", k)
		}
	}
}
