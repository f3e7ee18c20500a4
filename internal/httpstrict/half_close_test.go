package httpstrict_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/httpstrict"
)

// Guards against a request that waits until its deadline for a peer that has ended the
// connection without a response and reads no more.
func TestEndDuringARequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		time.Sleep(200 * time.Millisecond) // The kernel's buffers are full.
		_ = c.(*net.TCPConn).CloseWrite()
		<-ended
	}()
	const limit = 3 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), strings.NewReader(strings.Repeat("x", 20<<20)))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	_, err = httpstrict.Transport(&http.Transport{}).RoundTrip(req)
	if took := time.Since(began); err == nil || took > limit/2 {
		t.Errorf("ended after %v: %v", took, err)
	}
}
