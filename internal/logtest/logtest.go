// Package logtest captures log output in tests.
package logtest

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// Buffer collects log lines. It is safe for concurrent use.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *Buffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns all log output so far.
func (l *Buffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Lines returns the fields of each line that is a JSON object; other lines are
// skipped.
func (l *Buffer) Lines() []map[string]any {
	var out []map[string]any
	for line := range strings.SplitSeq(strings.TrimSpace(l.String()), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(line), &m) == nil {
			out = append(out, m)
		}
	}
	return out
}
