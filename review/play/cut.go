package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cutRounds is how many long requests are sent, one after the other.
	cutRounds = 20
	// cutBody is the length of their bodies, well below maxBodyBytes.
	cutBody = 24 << 20
	// resetAfter is how long after the first half of an answer its channel is reset.
	resetAfter = 200 * time.Millisecond
)

func init() { cases["cut"] = playCut }

// playCut sends requests with long bodies to backends that answer before they have
// read the body, without a length. With trouble each channel is reset in the middle of
// the answer. The client must not get a success then that looks complete.
func playCut(p *platform, trouble bool) int {
	p.proxied = true
	zones, regions := []string{"lag-ikeja"}, map[string]string{"lag-ikeja": "lag"}
	p.putConfig([]route{{name: "r-file", host: "entries.example", prefix: "/early/", kind: "unsafe", timeout: "10s", target: "2s", service: "filesvc", attempts: 2}},
		[]string{"filesvc"})
	var mu sync.Mutex
	halves := map[string]chan *server{}
	on := func(s *server, words []string) {
		mu.Lock()
		defer mu.Unlock()
		if words[0] == "half" && halves[words[1]] != nil {
			halves[words[1]] <- s
		}
	}
	for n := range 3 {
		p.startServer(fmt.Sprintf("i-file%d", n), "filesvc", zones[0], 4, 100*time.Millisecond, on)
	}
	in := p.addInstances(zones, regions, 1)[0]
	in.run()
	in.awaitReady()
	time.Sleep(stableWindow + time.Second)
	whole, foreign, failed := 0, 0, 0
	for range cutRounds {
		id := newID()
		half := make(chan *server, 4)
		mu.Lock()
		halves[id] = half
		mu.Unlock()
		if trouble {
			go func() {
				s := <-half
				time.Sleep(resetAfter)
				p.log("network: the channel on which %s answers %s is reset", s.id, id)
				s.proxy.reset()
			}()
		}
		switch status, got, err := sendLong(in.requests, id); {
		case err != nil || status != http.StatusOK:
			failed++
			p.log("client: %s: status %d, %d bytes, %v", id, status, len(got), err)
		case got == earlyHalf+earlyHalf:
			whole++
			p.log("client: %s: status 200, the whole body", id)
		default:
			foreign++
			p.log("client: %s: status 200, an answer that looks complete, but %d bytes of %d", id, len(got), 2*len(earlyHalf))
		}
		time.Sleep(time.Second)
	}
	p.log("result: %d whole, %d cut answers that look complete, %d failed", whole, foreign, failed)
	fmt.Printf("cut: trouble %v, %d whole, %d cut answers that look complete, %d failed\n", trouble, whole, foreign, failed)
	switch {
	case foreign > 0:
		return broken
	case !trouble && whole < cutRounds/2 || whole+failed < cutRounds:
		return couldNotRun
	}
	return held
}

// sendLong sends a request with a long body and returns the answer. The error is nil
// only if the answer is complete by its own length.
func sendLong(addr, id string) (int, string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(11 * time.Second))
	_, err = io.WriteString(c, fmt.Sprintf("POST /early/%s HTTP/1.1\r\nHost: entries.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", id, id, cutBody))
	if err == nil {
		_, err = io.Copy(c, io.LimitReader(zeros{}, cutBody))
	}
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	var b strings.Builder
	_, err = io.Copy(&b, resp.Body)
	return resp.StatusCode, b.String(), err
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
