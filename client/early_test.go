package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startEarly starts a server that answers each request with the given response as soon as
// it has read the head, and closes the connection with the body unread.
func startEarly(t *testing.T, response string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if r.URL.Path == "/v1/entries" {
					list := fmt.Sprintf(`{"ttl_ms":60000,"entries":[{"id":"i","addr":%q}]}`, ln.Addr())
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list)
					return
				}
				_, _ = io.WriteString(c, response)
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a complete answer that is lost because the instance resets the connection
// behind it, while the body of the request is still being sent.
func TestEarlyAnswerBeforeAReset(t *testing.T) {
	const refusal = `{"type":"urn:jujubestile:problem:body-size","title":"Body over the limit"}`
	addr := startEarly(t, fmt.Sprintf("HTTP/1.1 413 Too Large\r\nContent-Type: application/problem+json\r\nJujubestile-Outcome: not-run\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", len(refusal), refusal))
	for range 20 {
		c := New(Config{Bootstrap: []string{addr}, Timeout: 3 * time.Second})
		_, err := c.Do(context.Background(), Request{Service: "s", Method: "POST", Path: "/x", Body: make([]byte, 8<<20)})
		var notRun *NotRunError
		if !errors.As(err, &notRun) || notRun.Status != http.StatusRequestEntityTooLarge {
			t.Errorf("%v", err)
		}
		c.Close()
	}
}
