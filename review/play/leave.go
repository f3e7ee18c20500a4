package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leaveClients is the number of clients, leaveRounds how often each sends.
	leaveClients, leaveRounds = 6, 5
	// pipelined is how many requests a client sends before the first has been answered.
	pipelined = 6
	// leaveHeader is the size of one header field of each request. maxHeaderBytes is
	// 16384.
	leaveHeader = 8 << 10
	// leaveWork is the work of a request.
	leaveWork = 1500 * time.Millisecond
	// leaveAfter is how long after its requests a client leaves.
	leaveAfter = 300 * time.Millisecond
	// lateAfter is how long after the close a request may reach a backend, or a backend
	// may be at work. lateAllowed are a few requests.
	lateAfter   = 500 * time.Millisecond
	lateAllowed = 5
)

func init() { cases["leave"] = playLeave }

// playLeave has clients that send further safe requests before the first has been
// answered. With trouble they leave before their deadline.
func playLeave(p *platform, trouble bool) int {
	zones, regions := []string{"lag-ikeja", "lag-lekki"}, map[string]string{"lag-ikeja": "lag", "lag-lekki": "lag"}
	p.putConfig([]route{{name: "r-list", host: "lists.example", prefix: "/list/", kind: "safe", timeout: "12s", target: "2s", service: "listsvc", attempts: 2}},
		[]string{"listsvc"})
	var mu sync.Mutex
	began, ended, left := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	for n := range 6 {
		p.startServer(fmt.Sprintf("i-list%d", n), "listsvc", zones[n%2], 4, leaveWork, func(s *server, words []string) {
			mu.Lock()
			defer mu.Unlock()
			switch words[0] {
			case "run":
				began[words[1]] = time.Now()
			case "ran", "dropped":
				ended[words[1]] = time.Now()
			}
		})
	}
	ins := p.addInstances(zones, regions, 3)
	for _, in := range ins {
		in.run()
	}
	for _, in := range ins {
		in.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	var answered atomic.Int64
	var wg sync.WaitGroup
	for i := range leaveClients {
		wg.Go(func() {
			for range leaveRounds {
				ids, n, at := sendPipelined(ins[i%len(ins)], trouble)
				answered.Add(int64(n))
				mu.Lock()
				for _, id := range ids {
					left[id] = at
				}
				mu.Unlock()
				p.log("client: %d requests %v to %s, %d answered, then the client closes its channel", len(ids), ids, ins[i%len(ins)].name, n)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(pipelined*leaveWork + time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, working, lasting := 0, 0, 0
	for id, at := range left {
		b, ran := began[id]
		if !ran {
			continue
		}
		if b.Sub(at) > lateAfter {
			late++
			p.log("result: %s reaches a backend %.2f s after its client has closed the channel", id, b.Sub(at).Seconds())
			continue
		}
		if at.Before(b.Add(leaveWork - lateAfter)) {
			lasting++
			if ended[id].Sub(at) > lateAfter {
				working++
				p.log("result: a backend works on %s until %.2f s after its client has closed the channel", id, ended[id].Sub(at).Seconds())
			}
		}
	}
	p.log("result: %d answered, %d reached a backend late; at %d of %d that would have lasted so long the backend was still at work", answered.Load(), late, working, lasting)
	fmt.Printf("leave: trouble %v, %d answered, %d reached a backend late; at work on %d of %d\n", trouble, answered.Load(), late, working, lasting)
	switch {
	case late > lateAllowed || 4*working > lasting && lasting >= 8:
		return broken
	case !trouble && answered.Load() < leaveClients*leaveRounds*pipelined/2:
		return couldNotRun
	}
	return held
}

// sendPipelined sends requests on a new channel, and closes it after all answers or, if
// leave is set, earlier. It returns the IDs, the number of answers and the time of the
// close.
func sendPipelined(in *instance, leave bool) (ids []string, answered int, at time.Time) {
	c, err := net.DialTimeout("tcp", in.requests, time.Second)
	if err != nil {
		return nil, 0, time.Now()
	}
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	field := strings.Repeat("0123456789abcdef", leaveHeader/16)
	for range pipelined {
		id := newID()
		ids = append(ids, id)
		_, _ = fmt.Fprintf(c, "GET /list/%s HTTP/1.1\r\nHost: lists.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 12000\r\nCookie: %s\r\n\r\n", id, id, field)
	}
	if leave {
		time.Sleep(leaveAfter)
	} else {
		br := bufio.NewReader(c)
		for range ids {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.StatusCode == http.StatusOK {
				answered++
			}
		}
	}
	at = time.Now()
	_ = c.Close()
	return ids, answered, at
}
