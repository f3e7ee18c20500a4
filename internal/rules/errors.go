package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxErrors limits how many errors Parse reports for one file.
const MaxErrors = 50

// LineError is one error in a rules file.
type LineError struct {
	// Line counts from 1. It is 0 if the error concerns the whole file.
	Line int `json:"line"`
	// Read is the invalid part as read, cut to maxReadBytes.
	Read string `json:"read"`
	// Problem describes what is wrong with it.
	Problem string `json:"problem"`
	// Allowed describes what is allowed in its place.
	Allowed string `json:"allowed"`
}

// maxReadBytes limits the part of a line that an error quotes.
const maxReadBytes = 80

func (e LineError) Error() string {
	return fmt.Sprintf("line %d: read %s: %s (allowed: %s)", e.Line, strconv.Quote(e.Read), e.Problem, e.Allowed)
}

// ErrorList holds the errors in a file in the order of its lines.
type ErrorList struct {
	Errors []LineError `json:"errors"`
	// Truncated means that the file has more than MaxErrors errors.
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

func (l *ErrorList) isTruncated() bool { return l.Truncated }

func (l *ErrorList) add(line int, read, problem, allowed string) {
	if len(l.Errors) == MaxErrors {
		l.Truncated = true
		return
	}
	l.Errors = append(l.Errors, LineError{Line: line, Read: truncate(read), Problem: problem, Allowed: allowed})
}

// truncate cuts s to maxReadBytes at a character boundary and replaces or drops
// invalid UTF-8.
func truncate(s string) string {
	if len(s) <= maxReadBytes {
		return strings.ToValidUTF8(s, "\uFFFD")
	}
	return strings.ToValidUTF8(s[:maxReadBytes], "") + "..."
}
