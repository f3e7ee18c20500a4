package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// maxLogLine is the largest length of a log line, in bytes. A longer line ends
// the reading of its file.
const maxLogLine = 1 << 20

func requestCommand(a *app) *simpleCommand {
	const usage = "request ID [FILE...]"
	return &simpleCommand{command{"request", "Show the log lines of a request by time, from the logs of all instances (files or standard input)", usage}, a, func(_ context.Context, f *flag.FlagSet) error {
		args := f.Args()
		if len(args) == 0 {
			return usageError("usage: jujubectl " + usage)
		}
		lines, err := a.logLines(args[1:], args[0], func(line map[string]any) bool { return line["request"] == args[0] })
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return errors.Errorf("no log line of request %s; successes are sampled, failures are left out only above the limit of lines per second", args[0])
		}
		a.show(lines, func(w io.Writer) { timelineTable(w, lines) })
		return nil
	}}
}

// logLines returns the log lines that contain a text and satisfy keep from the files, or
// from standard input if there are no files, sorted by time.
func (a *app) logLines(files []string, text string, keep func(map[string]any) bool) ([]map[string]any, error) {
	var out []map[string]any
	if len(files) == 0 {
		out = readLog(a.in, text, keep)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		out = append(out, readLog(file, text, keep)...)
		_ = file.Close() // It was only read.
	}
	sort.SliceStable(out, func(i, j int) bool { return fmt.Sprint(out[i]["time"]) < fmt.Sprint(out[j]["time"]) })
	return out, nil
}

// readLog returns the log lines that contain a text and satisfy keep. Text before the
// first brace of a line is skipped: log collectors add such prefixes.
func readLog(r io.Reader, text string, keep func(map[string]any) bool) []map[string]any {
	var out []map[string]any
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		line := scanner.Text()
		at := strings.IndexByte(line, '{')
		if at < 0 || !strings.Contains(line, text) {
			continue
		}
		var m map[string]any
		if json.Unmarshal([]byte(line[at:]), &m) == nil && keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// timelineFields are the log fields that timelineTable shows, in this order.
var timelineFields = []string{"status", "reason", "outcome", "next", "error", "route", "rank", "repeatable", "endpoint", "domain",
	"expected_ms", "took_ms", "load", "slots", "warm", "second", "second_expected_ms", "left_ms", "on_time_ms",
	"retry_after_ms", "budget_left", "tries", "state"}

func timelineTable(w io.Writer, lines []map[string]any) {
	for _, m := range lines {
		fmt.Fprintf(w, "%v  %v  %v %v\n", m["time"], m["instance"], m["event"], m["message"])
		for _, name := range timelineFields {
			if v, ok := m[name]; ok && v != "" {
				writeRow(w, "    "+name, v)
			}
		}
	}
}
