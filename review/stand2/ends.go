//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	// payDeadline is that of entry-pay, and stableWindow the bound of that name.
	payDeadline, stableWindow = 1500 * time.Millisecond, 3 * time.Second
)

// endsCase checks that no more entries get lost at a machine than the rule LOST allows,
// and records how often processes end by themselves. Callers send small GET requests on
// new connections. With the disruption they pause in the middle of the header section.
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
	var entries []*standin.Endpoint
	for i := range 12 {
		e, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("entry-", i), Service: "entrysvc", Domain: "lag-ikeja", Slots: 3,
			Queue: 9, ServiceTime: 312 * time.Millisecond})
		if err != nil {
			return false, err
		}
		defer e.Close()
		s.store.PutEndpoint(e, e.Addr(), false, 0)
		entries = append(entries, e)
	}
	routes := []standin.Route{{Name: "entry-pay", Host: host, Prefix: "/pay/", Service: "entrysvc", Timeout: payDeadline, Target: 250 * time.Millisecond},
		{Name: "heats-view", Host: host, Prefix: "/heats/", Repeatable: true, Service: "heatsvc", Timeout: heatsDeadline,
			Target: 200 * time.Millisecond}}
	s.store.PutState(standin.WithLimits(standin.EncodeDesiredState(1, 12, []string{"heatsvc", "entrysvc"}, routes), headerBytes, bodyBytes))
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
	lost := lostEntries{ids: map[string][]string{}}
	for _, v := range supervisors {
		for c := range 12 {
			wg.Go(func() { lost.pay(stop, v, fmt.Sprintf("%s-p%d", v.in.name, c)) })
		}
	}
	fault := s.awaitEnds(supervisors, &crowd, &ordinary, lost.enough)
	close(stop)
	wg.Wait()
	rec.printf("the rule on faults is broken, too: %v", fault)
	return lost.broken(rec, entries), nil
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

// lostEntries are the requests of entry-pay that got no answer although they were sent on
// a kept channel to a process that had run for longer than stableWindow.
type lostEntries struct {
	mu       sync.Mutex
	answered int
	// ids has the requests by machine.
	ids map[string][]string
}

// enough reports whether so many requests of a machine were lost that backends have
// probably run more of them than the rule allows.
func (l *lostEntries) enough() bool {
	const many = 60
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ids := range l.ids {
		if len(ids) >= many {
			return true
		}
	}
	return false
}

// pay sends requests one after the other on kept channels until stop is closed. It plays
// a caller that keeps to the pages: it waits for its deadline and for Retry-After, and
// does not send a request again.
func (l *lostEntries) pay(stop <-chan struct{}, v *supervisor, name string) {
	const interval = 100 * time.Millisecond
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		conn, err := net.DialTimeout("tcp", v.in.requests, time.Second)
		if err != nil {
			continue
		}
		in := bufio.NewReader(conn)
		for kept := false; ; kept = true {
			id := fmt.Sprintf("%s-%d", name, n)
			n++
			inTouch := time.Since(v.in.startedAt()) > stableWindow
			end := time.Now().Add(payDeadline)
			_ = conn.SetDeadline(end)
			fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody",
				host, id, payDeadline.Milliseconds())
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				if kept && inTouch && time.Now().Before(end) {
					l.mu.Lock()
					l.ids[v.in.name] = append(l.ids[v.in.name], id)
					l.mu.Unlock()
				}
				break
			}
			if resp.StatusCode == http.StatusOK {
				l.mu.Lock()
				l.answered++
				l.mu.Unlock()
			}
			after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			time.Sleep(max(interval, time.Duration(after*float64(time.Second))))
			if resp.Close {
				break
			}
			select {
			case <-stop:
				_ = conn.Close()
				return
			default:
			}
		}
		_ = conn.Close()
	}
}

// lostAllowed is how many requests of a machine the rule allows to be lost.
const lostAllowed = 3

// broken records the lost requests that an endpoint has run. It reports whether there are
// more at a machine than the rule allows.
func (l *lostEntries) broken(rec *recorder, entries []*standin.Endpoint) bool {
	broken := false
	rec.printf("entries on kept channels: answered %d", l.answered)
	for machine, ids := range l.ids {
		ran := 0
		for _, id := range ids {
			for _, e := range entries {
				if e.Ran(id) {
					ran++
					rec.printf("entry %s ran at %s, and its kept channel ended without an answer", id, e.ID())
				}
			}
		}
		rec.printf("%s: %d entries on kept channels ended without an answer, of which a backend ran %d; %d are allowed", machine, len(ids), ran, lostAllowed)
		broken = broken || ran > lostAllowed
	}
	return broken
}
