// Package proctest runs the daemon (command run) as separate processes against
// stand-ins for the platform, and kills, pauses and stops the processes.
package proctest

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a broken request path: a caller looks up the entry instances at
// one process and sends a request to another one, which forwards it to an
// endpoint.
func TestWholePath(t *testing.T) {
	f := newFleet(t, fleetConfig{instances: 2, endpoints: 2})
	var body string
	eventually(t, 10*time.Second, "lookup that returns both instances", func() bool {
		body = get(t, "http://"+f.instances[0].entryAddr+"/v1/entries?caller=127.0.0.1")
		return strings.Contains(body, f.instances[1].entryAddr)
	})
	eventually(t, 10*time.Second, "response of an endpoint", func() bool {
		return strings.Contains(get(t, "http://"+f.instances[1].entryAddr+"/v1/services/entries/list?event=7"), "GET /list?event=7")
	})
}

// get returns the body of the response, or an empty string on any failure.
func get(t testing.TB, url string) string {
	t.Helper()
	c := http.Client{Timeout: 5 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// post sends a non-repeatable request without an idempotency key.
func post(t *testing.T, url, body string) {
	t.Helper()
	c := http.Client{Timeout: 5 * time.Second}
	resp, err := c.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		t.Logf("post: %v", err)
		return
	}
	_ = resp.Body.Close()
}

// eventually polls until ok returns true, or fails the test after within.
func eventually(t testing.TB, within time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %s", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
