package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashServers is the number of backends, backAfter the time after which one that
	// has crashed is back.
	crashServers = 8
	backAfter    = 3 * time.Second
	// poisonInterval is the time between two requests that crash backends.
	poisonInterval = 1300 * time.Millisecond
	// entryPause is the time between the answer to a sound entry and the client's next.
	entryPause = 600 * time.Millisecond
	// rollGap is the time between the restarts of two machines.
	rollGap = 14 * time.Second
	// crashesKnown is the number of crashes after which the time of the rule begins.
	crashesKnown = 3
	// retriesAllowed is the number of later retries that may reach backends.
	retriesAllowed = 3
	// beforeRoll and afterRoll are how long the requests come before and after the
	// rolling restart.
	beforeRoll, afterRoll = 15 * time.Second, 57 * time.Second
)

func init() { cases["crash"] = playCrash }

// playCrash sends a request that crashes each backend that runs it, again and again, at
// the machines in turn. The system learns that it crashes backends and refuses it. With
// trouble the machines are then stopped and started in turn.
func playCrash(p *platform, trouble bool) int {
	zones, regions := []string{"lag-ikeja", "lag-lekki"}, map[string]string{"lag-ikeja": "lag", "lag-lekki": "lag"}
	p.putConfig([]route{{name: "r-entry", host: "entries.example", prefix: "/entry/", kind: "unsafe", timeout: "5s", target: "1s", service: "entrysvc", attempts: 2}},
		[]string{"entrysvc"})
	var ran runs
	var mu sync.Mutex
	var crashes []time.Time
	var start func(n, incarnation int)
	start = func(n, incarnation int) {
		p.startServer(fmt.Sprintf("i-entry%d-%d", n, incarnation), "entrysvc", zones[n%2], 4, 400*time.Millisecond, func(s *server, words []string) {
			ran.add(s, words)
			if words[0] != "crash" {
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			time.AfterFunc(backAfter, func() { start(n, incarnation+1) })
		})
	}
	for n := range crashServers {
		start(n, 0)
	}
	ins := p.addInstances(zones, regions, 3)
	for _, in := range ins {
		in.run()
	}
	for _, in := range ins {
		in.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)

	end := time.Now().Add(beforeRoll + afterRoll)
	var lost, answered atomic.Int64
	var wg sync.WaitGroup
	for i := range len(ins) {
		wg.Go(func() { sendEntries(p, ins[i%len(ins)], end, &ran, &lost, &answered) })
	}
	if trouble {
		wg.Go(func() {
			time.Sleep(beforeRoll)
			for _, in := range ins {
				in.restart()
				time.Sleep(rollGap)
			}
		})
	}
	// late counts the retries that reach backends from machines in touch, later than
	// the stable window after the third crash.
	late, refused := 0, 0
	for n := 0; time.Now().Before(end); n++ {
		in := ins[n%len(ins)]
		id, inTouch := newID(), in.inTouch() && !in.stopping.Load()
		mu.Lock()
		counts := len(crashes) >= crashesKnown && time.Since(crashes[crashesKnown-1]) > stableWindow
		mu.Unlock()
		status, err := sendPoison(in.requests, id)
		time.Sleep(50 * time.Millisecond) // The backend's line may be on its way.
		reached := len(ran.of(id)) > 0
		p.log("client: poison %s to %s: status %d %v, reached %v, machine in touch %v, counts %v", id, in.name, status, err, ran.of(id), inTouch, counts)
		switch {
		case reached && inTouch && counts:
			late++
		case status == http.StatusServiceUnavailable:
			refused++
		}
		time.Sleep(poisonInterval)
	}
	wg.Wait()
	p.log("result: %d crashes in all, %d retries reached backends from machines in touch later than %v after the third; %d refused; entries: %d answered, %d that a backend was running failed",
		len(crashes), late, stableWindow, refused, answered.Load(), lost.Load())
	fmt.Printf("crash: trouble %v, %d crashes, %d late retries that reached backends, %d refused, entries %d answered %d failed\n",
		trouble, len(crashes), late, refused, answered.Load(), lost.Load())
	switch {
	case late > retriesAllowed:
		return broken
	case len(crashes) < crashesKnown || refused == 0 || answered.Load() < 100:
		return couldNotRun
	}
	return held
}

// sendPoison sends the request that crashes backends. Path, caller and body are always
// the same.
func sendPoison(addr, id string) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /entry/poison HTTP/1.1\r\nHost: entries.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nentry", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// sendEntries sends sound entries, each on a new channel, and counts those that a
// backend was running and that were not answered by it.
func sendEntries(p *platform, in *instance, end time.Time, ran *runs, lost, answered *atomic.Int64) {
	for time.Now().Before(end) {
		id := newID()
		c, err := net.DialTimeout("tcp", in.requests, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /entry/%s HTTP/1.1\r\nHost: entries.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\nentry", id, id)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		_ = c.Close()
		if status == http.StatusOK {
			answered.Add(1)
		} else {
			time.Sleep(50 * time.Millisecond)
			p.log("client: entry %s to %s: status %d %v, run by %v", id, in.name, status, err, ran.of(id))
			if len(ran.of(id)) > 0 {
				lost.Add(1)
			}
		}
		time.Sleep(entryPause)
	}
}
