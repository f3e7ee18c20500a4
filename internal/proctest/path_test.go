// Package proctest runs the daemon as real processes against the stand-ins of
// the platform, and kills, freezes and stops them.
package proctest

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a broken path: a caller asks one process for the entry
// instances, sends a request to another one, and an endpoint answers it.
func TestWholePath(t *testing.T) {
	f := newFleet(t, fleetConfig{entries: 2, endpoints: 2})
	var body string
	eventually(t, 10*time.Second, "a lookup that names both instances", func() bool {
		body = get(t, "http://"+f.entries[0].entryAddr+"/v1/entries?caller=127.0.0.1")
		return strings.Contains(body, f.entries[1].entryAddr)
	})
	eventually(t, 10*time.Second, "an answer of an endpoint", func() bool {
		return strings.Contains(get(t, "http://"+f.entries[1].entryAddr+"/v1/services/entries/list?event=7"), "GET /list?event=7")
	})
}

// get returns the body, or an empty string on any failure.
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

// post sends a request that may not be repeated and has no key.
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

// eventually polls until ok or fails the test.
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
