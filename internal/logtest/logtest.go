// Package logtest keeps log lines for tests.
package logtest

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// Buffer takes log lines from several goroutines.
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

// String returns all lines.
func (l *Buffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Lines returns the fields of each line that is a JSON object.
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
