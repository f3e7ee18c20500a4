package httpstrict_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jujubestile.example/jujubestile/internal/httpstrict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a server that sends the answers to the requests of a connection, one
// after the other, and closes it.
func startServer(t *testing.T, answers ...string) (url string) {
	t.Helper()
	return startServerThatAwaits(t, func(net.Conn) {}, answers...)
}

// startServerThatAwaits starts a server that calls await before it closes a connection.
func startServerThatAwaits(t *testing.T, await func(net.Conn), answers ...string) (url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			for _, answer := range answers {
				if _, err := http.ReadRequest(br); err != nil {
					break
				}
				_, _ = io.WriteString(c, answer)
			}
			await(c)
			_ = c.Close()
		}
	})
	t.Cleanup(func() { _ = ln.Close(); running.Wait() })
	return "http://" + ln.Addr().String()
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: httpstrict.Transport(&http.Transport{MaxResponseHeaderBytes: 8 << 10})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// get returns the status and body of a response, or an error.
func get(client *http.Client, url string, body io.Reader) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Guards against data that is not a response and that net/http takes for one.
func TestTransportRejectsWhatIsNoResponse(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 9<<10) + "\r\nContent-Length: 2\r\n\r\nok",
	} {
		url := startServer(t, answer)
		if status, body, err := get(newClient(t), url, nil); err == nil {
			t.Errorf("%.80q passes for a response with status %d and the body %q", answer, status, body)
		}
	}
}

// Guards against a body that is taken for a head: in a response that comes before the
// request has been written, after an interim response, and on a kept connection.
func TestTransportReadsResponses(t *testing.T) {
	body := strings.Repeat("\x00 \r\n", 10<<10)
	early := "HTTP/1.1 200 OK\r\nContent-Length: 40960\r\n\r\n" + body
	url := startServer(t, early, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+early, early)
	client := newClient(t) // Closed before the server, which waits for that.
	for i := range 3 {
		if status, got, err := get(client, url, strings.NewReader(strings.Repeat("b", 100))); err != nil || status != 200 || got != body {
			t.Errorf("request %d: status %d, %d bytes, %v", i, status, len(got), err)
		}
	}
	// The connection before is being closed, so this one goes to another server.
	other := startServer(t, early)
	if status, got, err := get(newClient(t), other, strings.NewReader(strings.Repeat("b", 64<<10))); err != nil || status != 200 || got != body {
		t.Errorf("long request: status %d, %d bytes, %v", status, len(got), err)
	}
}
