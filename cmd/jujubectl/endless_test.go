package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against metrics without end, which would take all memory of the operator's
// machine.
func TestEndlessMetrics(t *testing.T) {
	chunk := []byte(strings.Repeat(" ", 1<<20))
	sent := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil && sent < 4*maxMetricsBytes {
			n, err := w.Write(chunk)
			if sent += n; err != nil {
				return
			}
		}
	}))
	defer s.Close()
	state := readInstance(context.Background(), strings.TrimPrefix(s.URL, "http://"))
	if state.Error == "" {
		t.Error("no error")
	}
	s.CloseClientConnections()
	if s.Close(); sent > 2*maxMetricsBytes {
		t.Errorf("%d MB were read", sent>>20)
	}
}
