package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
)

const wholeBody = "the whole"

// wholeResponses are complete responses with wholeBody.
var wholeResponses = []string{
	"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\n" + wholeBody,
	"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n5\r\nwhole\r\n0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\n" + wholeBody,
	"HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n" + wholeBody,
}

// endsWithConnection is the index of the response whose body ends with the connection: a
// shorter body cannot be told from the whole one.
const endsWithConnection = 3

// rawEndpoint answers each connection with the bytes that it is given.
type rawEndpoint struct {
	client *exchange.Client
	target exchange.Target
	bytes  chan string
}

func startRaw(t testing.TB) *rawEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &rawEndpoint{client: exchange.New(exchange.Default(), testProtocol{}), bytes: make(chan string, 1),
		target: exchange.Target{ID: "e1", Addr: netip.MustParseAddrPort(ln.Addr().String())}}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, <-e.bytes)
			_ = c.Close()
		}
	})
	t.Cleanup(func() { e.client.Drop("e1"); _ = ln.Close(); running.Wait() })
	return e
}

// answer returns the result of a request that is answered with the bytes.
func (e *rawEndpoint) answer(bytes string) exchange.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e.bytes <- bytes
	res := e.client.Do(ctx, e.target, call("r1"))
	e.client.Drop("e1") // The next request takes a new connection.
	return res
}

// isWhole reports whether a result is the whole response or none.
func isWhole(res exchange.Result) bool {
	return res.Outcome != exchange.Answered || res.Status == 200 && string(res.Body) == wholeBody
}

// Guards against an answer that was cut, in its head or in its body, and passes for a
// whole one.
func TestEveryPrefixOfAResponse(t *testing.T) {
	e := startRaw(t)
	for i, whole := range wholeResponses {
		if res := e.answer(whole); res.Outcome != exchange.Answered || !isWhole(res) {
			t.Errorf("%q: %s, %v", whole, res.Outcome, res.Err)
		}
		end := len(whole)
		if i == endsWithConnection {
			end -= len(wholeBody)
		}
		for n := range end {
			if res := e.answer(whole[:n]); res.Outcome == exchange.Answered {
				t.Errorf("%q passes for a response with status %d and the body %q", whole[:n], res.Status, res.Body)
			}
		}
	}
}

// Guards against a damaged head that passes for a response, with another status, with
// other fields, or with a body that is not the endpoint's.
func TestOddBytesInAHead(t *testing.T) {
	e := startRaw(t)
	for _, whole := range wholeResponses {
		head := whole[:strings.LastIndex(whole, "\r\n\r\n")]
		if i := strings.Index(whole, "\r\n\r\n"); strings.Contains(whole, "chunked") {
			head = whole[:i]
		}
		for at := range head {
			for _, odd := range "\x00\x01\t\n\v\r \x7f" {
				for _, next := range []int{at, at + 1} { // Inserted, or in place of a byte.
					damaged := whole[:at] + string(odd) + whole[next:]
					if res := e.answer(damaged); !isWhole(res) {
						t.Errorf("%q passes for a response with status %d and the body %q", damaged, res.Status, res.Body)
					}
				}
			}
		}
	}
}

// Guards against what endpoints in trouble have sent as a response.
func TestWhatIsNoResponse(t *testing.T) {
	e := startRaw(t)
	const rest = "Request-Id: r1\r\nContent-Length: 9\r\n\r\n" + wholeBody
	for _, bytes := range []string{
		"HTTP/1.1 000 \r\n" + rest, "HTTP/1.1 099 OK\r\n" + rest, "HTTP/1.1 600 OK\r\n" + rest, "HTTP/1.1 999 OK\r\n" + rest,
		"HTTP/1.1 20 OK\r\n" + rest, "HTTP/1.1 2000 OK\r\n" + rest, "HTTP/1.1 +20 OK\r\n" + rest, "HTTP/2.0 200 OK\r\n" + rest,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + rest, "HTTP/1.1 200 OK\r\nX A: 1\r\n" + rest, "HTTP/1.1 200 OK\r\n A: 1\r\n" + rest,
		"HTTP/1.1 200 OK\r\nX\x01A: 1\r\n" + rest, "HTTP/1.1 200 OK\r\nX\x00: 1\r\n" + rest, "HTTP/1.1 200 OK\r\n: 1\r\n" + rest,
		"HTTP/1.1 200 OK\r\nA: 1\r\n continued\r\n" + rest, "HTTP/1.1 200 OK\r\nA: 1\x00\r\n" + rest, "HTTP/1.1 200 OK\r\nA\r\n" + rest,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: r1\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + rest, "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nRequest-Id: r1\r\n\r\n",
	} {
		if res := e.answer(bytes); res.Outcome == exchange.Answered {
			t.Errorf("%q passes for a response with status %d and the body %q", bytes, res.Status, res.Body)
		}
	}
}

// FuzzDamagedResponse damages whole responses at two places and cuts them: what comes out
// must be the whole response or none. Letters, digits and other bytes that a response may
// have make another response, whose body is not checked.
func FuzzDamagedResponse(f *testing.F) {
	f.Add(uint8(0), uint16(70), uint16(30), byte(' '), uint16(44), byte(0))
	f.Add(uint8(1), uint16(200), uint16(50), byte('\t'), uint16(3), byte('\n'))
	f.Add(uint8(2), uint16(200), uint16(9), byte('\r'), uint16(100), byte(0x7f))
	e := startRaw(f)
	f.Fuzz(func(t *testing.T, which uint8, cut, at uint16, odd byte, at2 uint16, odd2 byte) {
		i := int(which) % len(wholeResponses)
		whole := wholeResponses[i]
		headEnd := strings.Index(whole, "\r\n\r\n")
		damaged := []byte(whole)
		damaged[int(at)%headEnd], damaged[int(at2)%headEnd] = odd, odd2
		damaged = damaged[:min(int(cut), len(damaged))]
		res := e.answer(string(damaged))
		isOdd := func(b byte) bool { return b <= ' ' || b == 0x7f }
		if !isOdd(odd) || !isOdd(odd2) || i == endsWithConnection && len(damaged) < len(whole) {
			return
		}
		if !isWhole(res) {
			t.Errorf("%q passes for a response with status %d and the body %q", damaged, res.Status, res.Body)
		}
	})
}
