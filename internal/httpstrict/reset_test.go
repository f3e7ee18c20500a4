package httpstrict_test

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/linger"
)

const (
	// unreadBody exceeds the kernel's buffers, so that a server which does not read it
	// resets the connection while it is written.
	unreadBody = 8 << 20
	resets     = 20
)

// Guards against a response that is discarded because the server, which has not read the
// whole request, resets the connection behind it.
func TestEarlyResponseBeforeAReset(t *testing.T) {
	url := startServer(t, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno")
	client := newClient(t)
	for range resets {
		status, body, err := get(client, url, bytes.NewReader(make([]byte, unreadBody)))
		if err != nil || status != http.StatusRequestEntityTooLarge || body != "no" {
			t.Errorf("status %d, body %q: %v", status, body, err)
		}
	}
}

// Guards against a response without a length that passes for a complete one although its
// connection was reset, because the error went to the writer of the request.
func TestUnframedResponseBeforeAReset(t *testing.T) {
	url := startServerThatAwaits(t, awaitUnread, "HTTP/1.1 200 OK\r\n\r\npart")
	client := newClient(t)
	for range resets {
		if status, body, err := get(client, url, bytes.NewReader(make([]byte, unreadBody))); err == nil {
			t.Errorf("status %d, body %q", status, body)
		}
	}
}

// awaitUnread waits until bytes are unread, so that closing the connection resets it.
func awaitUnread(c net.Conn) {
	for end := time.Now().Add(time.Second); linger.Unread(c) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
