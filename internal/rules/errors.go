package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxErrors bounds how many errors Parse reports for one file.
const MaxErrors = 50

// LineError is one fault of a rules file.
type LineError struct {
	// Line counts from 1. It is 0 if the fault concerns the whole file.
	Line int `json:"line"`
	// Read is the faulty part as read, shortened to maxReadBytes.
	Read string `json:"read"`
	// Problem says what is wrong with it.
	Problem string `json:"problem"`
	// Allowed says what may stand there.
	Allowed string `json:"allowed"`
}

// maxReadBytes bounds the part of a line that an error repeats.
const maxReadBytes = 80

func (e LineError) Error() string {
	return fmt.Sprintf("line %d: read %s: %s (allowed: %s)", e.Line, strconv.Quote(e.Read), e.Problem, e.Allowed)
}

// ErrorList holds the faults of a file in the order of its lines.
type ErrorList struct {
	Errors []LineError `json:"errors"`
	// Truncated means that the file has more than MaxErrors faults.
	Truncated bool `json:"truncated,omitempty"`
}

func (l *ErrorList) Error() string {
	var b strings.Builder
	for i, e := range l.Errors {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(e.Error())
	}
	if l.Truncated {
		fmt.Fprintf(&b, "\nmore than %d faults; the rest is not shown", MaxErrors)
	}
	return b.String()
}

func (l *ErrorList) full() bool { return l.Truncated }

func (l *ErrorList) add(line int, read, problem, allowed string) {
	if len(l.Errors) == MaxErrors {
		l.Truncated = true
		return
	}
	l.Errors = append(l.Errors, LineError{Line: line, Read: shorten(read), Problem: problem, Allowed: allowed})
}

// shorten cuts s at a character boundary and replaces invalid UTF-8.
func shorten(s string) string {
	if len(s) <= maxReadBytes {
		return strings.ToValidUTF8(s, "\uFFFD")
	}
	return strings.ToValidUTF8(s[:maxReadBytes], "") + "..."
}
