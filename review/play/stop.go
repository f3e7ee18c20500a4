package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of large/LATER.md: the grace period, and the work and the deadline of
// archive-pull.
const (
	largeGrace   = 10 * time.Second
	archiveWork  = 6240 * time.Millisecond
	archiveLimit = 25 * time.Second
	// excused is how long after the SIGTERM a request may be sent that is excused if
	// its backend is still at work in the last sixth of the grace period.
	excused = 3 * time.Second
	// keepTimes is how many times the ttl some clients keep an answer of the directory.
	keepTimes = 3
)

func init() { cases["stop"] = playStop }

// playStop stops a machine with SIGTERM. Clients that have asked the directory just
// before, and keep its answer three times as long as it says, send it requests that last
// some seconds.
func playStop(p *platform, trouble bool) int {
	p.grace = largeGrace
	zones, regions := []string{"lag-ikeja", "lag-lekki"}, map[string]string{"lag-ikeja": "lag", "lag-lekki": "lag"}
	p.putConfig([]route{{name: "r-archive", host: "results.example", prefix: "/archive/", kind: "safe", timeout: "25s", target: "6s", service: "resultsvc", attempts: 2, priority: 2}},
		[]string{"resultsvc"})
	var ran runs
	for n := range 12 {
		p.startServer(fmt.Sprintf("i-result%d", n), "resultsvc", zones[n%2], 6, archiveWork, ran.add)
	}
	ins := p.addInstances(zones, regions, 3)
	for _, in := range ins {
		in.run()
	}
	for _, in := range ins {
		in.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)

	var lost, excusedCut, answered, refused atomic.Int64
	var wg sync.WaitGroup
	for i, in := range ins[:2] {
		kept := keepTimes * lookup(p, ins[i+1], in.requests)
		begun := time.Now()
		if trouble {
			wg.Go(in.restart)
		}
		for time.Since(begun) < kept {
			wg.Go(func() { pullArchive(p, in, begun, &ran, &lost, &excusedCut, &answered, &refused) })
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(largeGrace + 2*time.Second)
		in.awaitReady()
	}
	wg.Wait()
	p.log("result: %d answered, %d refused, %d cut that are excused, %d lost", answered.Load(), refused.Load(), excusedCut.Load(), lost.Load())
	fmt.Printf("stop: trouble %v, %d answered, %d refused, %d cut that are excused, %d lost\n", trouble, answered.Load(), refused.Load(), excusedCut.Load(), lost.Load())
	switch {
	case lost.Load() > 0:
		return broken
	case answered.Load() < 5:
		return couldNotRun
	}
	return held
}

// lookup asks the directory of a machine. It returns the ttl of the answer, which must
// name the address.
func lookup(p *platform, in *instance, address string) time.Duration {
	host, _, _ := net.SplitHostPort(in.requests)
	resp, err := http.Get("http://" + host + ":8644/resolve?name=results.example&region=lag&zone=lag-ikeja")
	cannotRun(err)
	defer resp.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	cannotRun(json.NewDecoder(resp.Body).Decode(&a))
	ttl, err := time.ParseDuration(a.TTL)
	cannotRun(err)
	p.log("client: the directory of %s names %v for %s", in.name, a.Addresses, a.TTL)
	if !slices.Contains(a.Addresses, address) {
		cannotRun(errors.New("the directory does not name the machine"))
	}
	return ttl
}

// pullArchive sends a request on a new channel.
func pullArchive(p *platform, in *instance, begun time.Time, ran *runs, lost, excusedCut, answered, refused *atomic.Int64) {
	c, err := net.DialTimeout("tcp", in.requests, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	id, after := newID(), time.Since(begun)
	_ = c.SetDeadline(time.Now().Add(archiveLimit))
	_, _ = fmt.Fprintf(c, "GET /archive/%s HTTP/1.1\r\nHost: results.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, id, archiveLimit.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(begun) - after
	switch {
	case err != nil && len(ran.of(id)) == 0:
		p.log("client: %s to %s, sent %.1f s after the SIGTERM: %v after %.1f s, not passed on", id, in.name, after.Seconds(), err, took.Seconds())
	case err != nil && after <= excused:
		excusedCut.Add(1)
		p.log("client: %s to %s, sent %.1f s after the SIGTERM: %v after %.1f s, run by %v: excused", id, in.name, after.Seconds(), err, took.Seconds(), ran.of(id))
	case err != nil:
		lost.Add(1)
		p.log("client: %s to %s, sent %.1f s after the SIGTERM: %v after %.1f s, run by %v: lost", id, in.name, after.Seconds(), err, took.Seconds(), ran.of(id))
	case resp.StatusCode == http.StatusOK:
		answered.Add(1)
		p.log("client: %s to %s, sent %.1f s after the SIGTERM: status 200 after %.1f s", id, in.name, after.Seconds(), took.Seconds())
	default:
		refused.Add(1)
		p.log("client: %s to %s, sent %.1f s after the SIGTERM: status %d after %.1f s, run by %v", id, in.name, after.Seconds(), resp.StatusCode, took.Seconds(), ran.of(id))
	}
}
