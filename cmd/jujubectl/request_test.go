package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const logText = `  1.2 i2 {"event":813,"message":"request failed","instance":"i2","request":"r1","status":502,"time":"2026-01-01T00:00:02.000Z"}
not JSON r1
{"event":814,"message":"attempt failed","instance":"i1","request":"r1","endpoint":"e7","error":"reset","time":"2026-01-01T00:00:01.000Z"}
{"event":811,"message":"request answered","instance":"i1","request":"r10","time":"2026-01-01T00:00:01.500Z"}
`

// Guards against a request command that shows the lines of other requests, or
// does not sort the lines by time.
func TestRequestTimeline(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(logText), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"jujubectl", "request", "r1"}, {"jujubectl", "request", "r1", file}} {
		var out, errs bytes.Buffer
		code := run(context.Background(), args, strings.NewReader(logText), &out, &errs, func(string) string { return "" })
		text := out.String()
		first, last := strings.Index(text, "814 attempt failed"), strings.Index(text, "813 request failed")
		if code != exitSuccess || first < 0 || last < first || !strings.Contains(text, "e7") || strings.Contains(text, "answered") {
			t.Errorf("%v: exit %d\n%s%s", args, code, text, errs.String())
		}
	}
	var out, errs bytes.Buffer
	if code := run(context.Background(), []string{"jujubectl", "request", "none"}, strings.NewReader(logText), &out, &errs, func(string) string { return "" }); code == exitSuccess {
		t.Error("a request without lines was found")
	}
}
