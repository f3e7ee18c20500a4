//go:build review2

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// alertCallers is the size of the crowd at the machine under test.
	alertCallers = 100
	// stay is how long a caller of the crowd stays. It is a tenth of the latency target.
	stay = 200 * time.Millisecond
	// alertTimeout is the timeout of the route, and alertDeadline that of its callers.
	alertTimeout, alertDeadline = 3 * time.Second, 8 * time.Second
	// alertMemoryMB is the memory of the machines.
	alertMemoryMB = 136
)

// shortFields returns n different header lines of five bytes.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%c%c:\r\n", letters[i%len(letters)], letters[i/len(letters)%len(letters)])
	}
	return b.String()
}

// memoryCase checks that two machines' processes do not exceed the memory of their
// machines three times each. Callers of a non-idempotent route send requests whose header
// sections are within the limit and have many short fields. With the disruption they
// leave after a short time, otherwise they wait for the answers.
func memoryCase(rec *recorder, trouble bool) (bool, error) {
	s, err := newStage(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range 74 {
		e, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("alert-", i), Service: "riasztas", Domain: "lag-ikeja", Slots: 9,
			Queue: 27, ServiceTime: 1480 * time.Millisecond})
		if err != nil {
			return false, err
		}
		defer e.Close()
		s.store.PutEndpoint(e, e.Addr(), false, 0)
	}
	repeatable := os.Getenv("SAFE") == "1" // For comparison only.
	routes := []standin.Route{{Name: "alert-actions", Host: host, Prefix: "/alerts/", Repeatable: repeatable, Service: "riasztas", Timeout: alertTimeout,
		Target: 2 * time.Second}}
	s.store.PutState(standin.WithLimits(standin.EncodeDesiredState(1, 7, []string{"riasztas"}, routes), headerBytes, bodyBytes))
	supervisors, err := s.startMachines(2, machine{alertMemoryMB, 2870, 0.112, 20}, map[string]any{"grace": "6s", "retry_ratio": 0.2, "retry_slack": 307,
		"retry_window": "10s", "max_shift": 0.15}, alertMemoryMB)
	if err != nil {
		return false, err
	}
	header := shortFields((headerBytes - 500) / len("aa:\r\n"))
	rec.printf("%d callers, header sections of %d bytes, at most %d are allowed; they leave after %v: %v", alertCallers, len(header)+150, headerBytes, stay, trouble)
	broken := true
	for _, v := range supervisors {
		broken = s.attack(v, alertCallers, func(crowd *tally, name string, _ <-chan struct{}) {
			request := fmt.Sprintf("POST /alerts/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 4\r\n\r\nbody",
				host, name, alertDeadline.Milliseconds(), header)
			if trouble {
				crowd.leaveAfter(v.in.requests, request, stay)
			} else {
				time.Sleep(crowd.call(v.in.requests, request, 0, "", alertDeadline))
			}
		}) && broken
	}
	return broken, nil
}

// attack sends a crowd of n callers to one machine. It reports whether the process has
// exceeded the memory of the machine three times.
func (s *stage) attack(v *supervisor, n int, call func(crowd *tally, name string, stop <-chan struct{})) bool {
	var crowd tally
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { v.run(stop) })
	for c := range n {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				call(&crowd, fmt.Sprintf("%s-%d-%d", v.in.name, c, k), stop)
			}
		})
	}
	for end := time.Now().Add(caseTime / 3); time.Now().Before(end) && v.over.Load() < endsToBreak; {
		s.rec.printf("%s: %d MB resident; crowd: %s", v.in.name, v.in.residentMB(), &crowd)
		time.Sleep(time.Second)
	}
	close(stop)
	wg.Wait()
	s.rec.printf("%s: exceeded its memory %d times, its processes ended by themselves %d times in all, at most %d MB resident", v.in.name, v.over.Load(),
		v.ends.Load(), v.most.Load())
	return v.over.Load() >= endsToBreak
}
