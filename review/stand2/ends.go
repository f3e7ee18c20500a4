//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// slowCallers is the size of the crowd at each machine, below the number of
	// connections that its descriptors allow.
	slowCallers = 1500
	// firstPart is the number of header bytes that a slow caller sends before it pauses.
	firstPart = 1500
	// minPause and pauseRange bound the pause, which is far below the headerTimeout of
	// the desired state (5 s in the stand-in, 3 s in the site files).
	minPause, pauseRange = 550 * time.Millisecond, 100 * time.Millisecond
	// heatsDeadline is the deadline of heats-view, in the site file.
	heatsDeadline = 1200 * time.Millisecond
)

// endsCase checks the rule on faults: no two machines' processes end by themselves three
// times each. Callers send small GET requests on new connections. With the disruption
// they pause in the middle of the header section.
func endsCase(rec *recorder, trouble bool) (bool, error) {
	s, err := newStage(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range 12 {
		e, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("heat-", i), Service: "heatsvc", Domain: "lag-ikeja", Slots: 5,
			Queue: 15, ServiceTime: 240 * time.Millisecond})
		if err != nil {
			return false, err
		}
		defer e.Close()
		s.store.PutEndpoint(e, e.Addr(), false, 0)
	}
	routes := []standin.Route{{Name: "heats-view", Host: host, Prefix: "/heats/", Repeatable: true, Service: "heatsvc", Timeout: heatsDeadline,
		Target: 200 * time.Millisecond}}
	s.store.PutState(standin.WithLimits(standin.EncodeDesiredState(1, 12, []string{"heatsvc"}, routes), headerBytes, bodyBytes))
	supervisors, err := s.startMachines(2, machine{206, 2870, 0.224, 700}, map[string]any{"grace": "6s", "retry_ratio": 0.2, "retry_slack": 120,
		"retry_window": "10s", "max_shift": 0.15}, 0)
	if err != nil {
		return false, err
	}
	rec.printf("%d callers at each of 2 machines; they pause in the header section: %v", slowCallers, trouble)
	var crowd, ordinary tally
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range supervisors {
		wg.Go(func() { v.run(stop) })
		for c := range slowCallers {
			wg.Go(func() {
				call := getRequests(fmt.Sprintf("%s-%d", v.in.name, c), "Cookie: "+strings.Repeat("x", firstPart)+"\r\n")
				pause := time.Duration(0)
				if trouble {
					pause = minPause + time.Duration(c%100)*pauseRange/100
				}
				callAgain(stop, &crowd, v.in.requests, call, pause, 0)
			})
		}
		for c := range 10 {
			wg.Go(func() {
				const interval = 300 * time.Millisecond
				callAgain(stop, &ordinary, v.in.requests, getRequests(fmt.Sprintf("%s-o%d", v.in.name, c), ""), 0, interval)
			})
		}
	}
	broken := s.awaitEnds(supervisors, &crowd, &ordinary)
	close(stop)
	wg.Wait()
	return broken, nil
}

// getRequests returns a function that returns requests in two parts.
func getRequests(name, header string) func(n int) (first, second string) {
	return func(n int) (string, string) {
		return fmt.Sprintf("GET /heats/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\n%s", host, name, n, header),
			fmt.Sprintf("X-Deadline-Ms: %d\r\n\r\n", heatsDeadline.Milliseconds())
	}
}

// callAgain sends requests one after the other until stop is closed. Without an interval
// it does not wait after refusals, like the impatient callers of the pages.
func callAgain(stop <-chan struct{}, t *tally, addr string, request func(n int) (first, second string), pause, interval time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		first, second := request(n)
		after := t.call(addr, first, pause, second, pause+heatsDeadline)
		if interval > 0 {
			time.Sleep(max(after, interval))
		}
	}
}
