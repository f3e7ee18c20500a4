package client

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// Guards against data that is not a response and that the caller gets as one: with a
// status of 000, or with a field whose name net/http does not know with a blank in it.
func TestDamagedResponsesAreNotPassedOn(t *testing.T) {
	for _, damaged := range []string{
		"HTTP/1.1 000 OK\r\nJujubestile-Outcome: answered\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\nJujubestile-Outcome: answered\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX\x01A: 1\r\nJujubestile-Outcome: answered\r\nContent-Length: 2\r\n\r\nok",
	} {
		_, c := newFleet(t, `{}`, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, damaged)
			_ = conn.Close()
		})
		if resp, err := c.Do(context.Background(), Request{Method: http.MethodGet, Service: "s", Path: "/x"}); err == nil {
			t.Errorf("%q passes for a response with status %d", damaged, resp.Status)
		}
	}
}
