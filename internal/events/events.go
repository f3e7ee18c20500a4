// Package events defines the numbered log events of the daemon. The catalogue in
// docs/events.md is generated from the definitions, and a test checks that the
// two agree.
package events

import (
	"io"

	"github.com/rs/zerolog"
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event in logs, dashboards and the catalogue. It is
	// never reused for another event.
	Number int
	// Text is the log message.
	Text  string
	Level zerolog.Level
	// Meaning and Action describe in the catalogue what has happened and what
	// an operator should do.
	Meaning string
	Action  string
}

// Logger writes each event as a line with a JSON object.
type Logger struct {
	z zerolog.Logger
}

// The time format is a global variable of zerolog. It is set only here, because
// the loggers of several instances in one process read it concurrently.
func init() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
}

// New returns a logger for events at least as severe as level.
func New(w io.Writer, level zerolog.Level, instance string) Logger {
	return Logger{z: zerolog.New(w).Level(level).With().Timestamp().Str("instance", instance).Logger()}
}

// Nop returns a logger that writes nothing.
func Nop() Logger {
	return Logger{z: zerolog.Nop()}
}

// Log starts a log line for the event. The caller adds fields and calls Send.
func (l Logger) Log(e Event) *zerolog.Event {
	return l.z.WithLevel(e.Level).Int("event", e.Number).Str("message", e.Text)
}
