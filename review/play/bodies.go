package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case.
var (
	// uploadBytes is the size of a long body, well below maxBodyBytes.
	uploadBytes = envInt("UPLOAD_MB", 20) << 20
	// uploaders is the number of clients with long bodies; in the burst there are
	// burst times as many.
	uploaders = envInt("UPLOADERS", 4)
	burst     = 2
)

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

const (
	// bodiesLength is how long the clients send.
	bodiesLength = 30 * time.Second
	// linkBytesPerS is what the link of a machine carries.
	linkBytesPerS = 700_000_000 / 8
)

var nextID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", nextID.Add(1)+0x5a00000000000000) }

// ran collects, by request, the backends that began to run it.
type runs struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (r *runs) add(s *server, words []string) {
	if words[0] != "run" && words[0] != "crash" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string][]string{}
	}
	r.runs[words[1]] = append(r.runs[words[1]], s.id)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func init() { cases["bodies"] = playBodies }

// playBodies shows that clients with long bodies, within the limits of the desired
// state, end a process of the system: it holds all bodies in memory, without a bound.
// Small requests that backends are running at that time are never answered.
func playBodies(p *platform, trouble bool) int {
	zones, regions := []string{"lag-ikeja", "lag-lekki"}, map[string]string{"lag-ikeja": "lag", "lag-lekki": "lag"}
	p.putConfig([]route{
		{name: "r-entry", host: "entries.example", prefix: "/entry/", kind: "unsafe", timeout: "5s", target: "1s", service: "entrysvc", attempts: 2},
		{name: "r-file", host: "entries.example", prefix: "/file/", kind: "unsafe", timeout: "10s", target: "2s", service: "filesvc", attempts: 2, priority: 1},
	}, []string{"entrysvc", "filesvc"})
	var ran runs
	for i := range 4 {
		p.startServer(fmt.Sprintf("i-entry%d", i), "entrysvc", zones[i%2], 5, 600*time.Millisecond, ran.add)
		p.startServer(fmt.Sprintf("i-file%d", i), "filesvc", zones[i%2], 5, 800*time.Millisecond, ran.add)
	}
	ins := p.addInstances(zones, regions, 3)
	stop := make(chan struct{})
	for _, in := range ins {
		in.run()
	}
	for _, in := range ins {
		in.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	for _, in := range ins {
		go in.guardMemory(stop)
	}
	var lost, answered, uploaded atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(bodiesLength)
	for i := range 8 * len(ins) {
		wg.Go(func() { keepSending(p, ins[i%len(ins)], end, &ran, &lost, &answered) })
	}
	for _, in := range ins {
		n := uploaders
		if trouble {
			n *= burst
		}
		for range n {
			wg.Go(func() { keepUploading(p, in, end, &uploaded) })
		}
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	close(stop)
	kills := 0
	for _, in := range ins {
		p.log("result: %s: peak %d MB, killed %d times", in.name, in.peak, in.kills)
		kills += in.kills
	}
	p.log("result: %d uploads answered, %d entries answered, %d entries that a backend was running never answered", uploaded.Load(), answered.Load(), lost.Load())
	fmt.Printf("bodies: trouble %v, %d uploads answered, %d entries answered, %d lost, %d kills\n", trouble, uploaded.Load(), answered.Load(), lost.Load(), kills)
	if answered.Load() < 100 || uploaded.Load() < 3 && !trouble {
		return couldNotRun
	}
	if lost.Load() > 3 {
		return broken
	}
	return held
}

// keepSending sends entries on a kept channel. It counts those that were passed on to
// a backend by a machine in touch, and whose channel was closed without an answer.
func keepSending(p *platform, in *instance, end time.Time, ran *runs, lost, answered *atomic.Int64) {
	var c net.Conn
	var br *bufio.Reader
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", in.requests, time.Second); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(c)
		}
		id, inTouch := newID(), in.inTouch()
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /entry/%s HTTP/1.1\r\nHost: entries.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\nentry", id, id)
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			_ = c.Close()
			c = nil
			time.Sleep(50 * time.Millisecond) // The backend's line may be on its way.
			p.log("client: %s to %s: channel closed without an answer (%v), run by %v, machine in touch %v", id, in.name, err, ran.of(id), inTouch)
			if len(ran.of(id)) > 0 && inTouch {
				lost.Add(1)
			}
			continue
		}
		answered.Add(1)
		if resp.StatusCode != http.StatusOK {
			p.log("client: %s to %s: status %d", id, in.name, resp.StatusCode)
		}
		if resp.Close {
			_ = c.Close()
			c = nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

// keepUploading sends requests with long bodies, one after the other, each on a new
// channel, no faster than the link of a machine allows for all of them together.
func keepUploading(p *platform, in *instance, end time.Time, uploaded *atomic.Int64) {
	chunk := make([]byte, 256<<10)
	perS := linkBytesPerS / (uploaders * burst)
	for time.Now().Before(end) {
		id := newID()
		c, err := net.DialTimeout("tcp", in.requests, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /file/%s HTTP/1.1\r\nHost: entries.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", id, id, uploadBytes)
		begun := time.Now()
		for sent := 0; sent < uploadBytes && err == nil; {
			var n int
			n, err = c.Write(chunk[:min(len(chunk), uploadBytes-sent)])
			sent += n
			time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Second / time.Duration(perS))))
		}
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		if err != nil {
			p.log("client: upload %s of %d bytes to %s: %v", id, uploadBytes, in.name, err)
		} else {
			p.log("client: upload %s of %d bytes to %s: status %d", id, uploadBytes, in.name, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				uploaded.Add(1)
			}
		}
		_ = c.Close()
		time.Sleep(200 * time.Millisecond)
	}
}
