package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/control"
)

// Exit codes, as the package comment documents them.
const (
	exitSuccess        = 0
	exitRefused        = 1
	exitUsage          = 2
	exitUnreachable    = 3
	exitOutcomeUnknown = 4
	exitConflict       = 5
	exitWarnings       = 6
)

// controlVariable is the environment variable with the default of -control.
const controlVariable = "JUJUBECTL_CONTROL"

// app holds the streams and the common flags of all commands.
type app struct {
	in          io.Reader
	out, errOut io.Writer

	control string
	json    bool
	author  string
}

func newApp(in io.Reader, out, errOut io.Writer, env func(string) string) *app {
	a := &app{in: in, out: out, errOut: errOut, control: env(controlVariable)}
	if u, err := user.Current(); err == nil {
		a.author = u.Username
	}
	return a
}

// setFlags declares the common flags. They are accepted before and after the
// name of a command. The defaults are the current values, so that flags before
// the name stay set.
func (a *app) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.control, "control", a.control, "control addresses `ADDR[,ADDR...]` of instances, tried in order (environment: "+controlVariable+")")
	f.BoolVar(&a.json, "json", a.json, "write JSON instead of tables")
	f.StringVar(&a.author, "author", a.author, "`NAME` under which a change is recorded")
}

// usageError is an error in the command line.
type usageError string

func (e usageError) Error() string { return string(e) }

func (a *app) client() (*control.Client, error) {
	var addresses []string
	for s := range strings.SplitSeq(a.control, ",") {
		if s = strings.TrimSpace(s); s != "" {
			addresses = append(addresses, s)
		}
	}
	c, err := control.NewClient(addresses)
	if err != nil {
		return nil, usageError(err.Error())
	}
	return c, nil
}

// failure is an error with its exit code and the operator's next step.
type failure struct {
	Code    int              `json:"exit_code"`
	Message string           `json:"error"`
	Next    string           `json:"next"`
	Problem *control.Problem `json:"problem,omitempty"`
}

func classify(err error) failure {
	var (
		p     *control.Problem
		usage usageError
	)
	switch {
	case errors.As(err, &usage):
		return failure{Code: exitUsage, Message: usage.Error(), Next: "see jujubectl help, or set -control or " + controlVariable}
	case errors.As(err, &p):
		return classifyProblem(p)
	case errors.Is(err, control.ErrUnreachable):
		return failure{Code: exitUnreachable, Message: err.Error(), Next: "give -control the addresses of other instances, or check that the instances run and can be reached"}
	case errors.Is(err, control.ErrOutcomeUnknown):
		return failure{Code: exitOutcomeUnknown, Message: err.Error(), Next: "check with jujubectl status and rules history whether the change is in force before you repeat it"}
	}
	return failure{Code: exitRefused, Message: err.Error(), Next: "correct the error and run the command again"}
}

func classifyProblem(p *control.Problem) failure {
	f := failure{Code: exitRefused, Message: p.Error(), Problem: p, Next: "correct the request and run the command again"}
	switch {
	case p.Outcome == string(configsync.Conflict):
		f.Code = exitConflict
		f.Next = "run jujubectl rules show, make your change in the newest rules, and apply them"
	case p.Outcome == string(configsync.Unknown):
		f.Code = exitOutcomeUnknown
		f.Next = "check with jujubectl rules history whether your edit is in force before you repeat it"
	case p.Status >= 500:
		f.Next = "try again in a few seconds, or give -control another instance"
	}
	return f
}

// finish reports an error, if any, and returns the exit status.
func (a *app) finish(err error) subcommands.ExitStatus {
	if err == nil {
		return exitSuccess
	}
	f := classify(err)
	if a.json {
		a.writeJSON(a.errOut, f)
		return subcommands.ExitStatus(f.Code)
	}
	fmt.Fprintf(a.errOut, "jujubectl: %s\n", f.Message)
	if f.Problem != nil {
		a.explainProblem(f.Problem)
	}
	fmt.Fprintf(a.errOut, "Next: %s.\n", f.Next)
	return subcommands.ExitStatus(f.Code)
}

func (a *app) explainProblem(p *control.Problem) {
	if p.Faults != nil {
		fmt.Fprintln(a.errOut, p.Faults.Error())
	}
	if p.Winner != nil {
		fmt.Fprintf(a.errOut, "The rules in force are revision %d by %s.\n", p.Winner.Revision, p.Winner.Author)
	}
	for _, c := range p.Changes {
		fmt.Fprintln(a.errOut, c)
	}
}

func (a *app) writeJSON(w io.Writer, v any) {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	// A write error is ignored: the reader of the output has closed it.
	_ = e.Encode(v)
}

// show writes v as JSON if -json is set, and otherwise by writeText.
func (a *app) show(v any, writeText func(w io.Writer)) {
	if a.json {
		a.writeJSON(a.out, v)
		return
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	writeText(w)
	_ = w.Flush()
}

// writeRow writes one line of a table.
func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// arguments returns the arguments of a command, or a usage error if there are
// too few or too many.
func arguments(f *flag.FlagSet, minArgs, maxArgs int, usage string) ([]string, error) {
	if n := f.NArg(); n < minArgs || n > maxArgs {
		return nil, usageError("usage: jujubectl " + usage)
	}
	return f.Args(), nil
}

// command implements the descriptive methods of subcommands.Command.
type command struct {
	name, synopsis, usage string
}

func (c command) Name() string     { return c.name }
func (c command) Synopsis() string { return c.synopsis }
func (c command) Usage() string {
	return fmt.Sprintf("jujubectl %s\n  %s.\n", c.usage, c.synopsis)
}

// simpleCommand is a command that has only the common flags.
type simpleCommand struct {
	command
	app     *app
	execute func(ctx context.Context, f *flag.FlagSet) error
}

func (u *simpleCommand) SetFlags(f *flag.FlagSet) { u.app.setFlags(f) }

func (u *simpleCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return u.app.finish(u.execute(ctx, f))
}
