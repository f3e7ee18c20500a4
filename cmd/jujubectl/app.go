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
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitUnknown     = 4
	exitConflict    = 5
)

// environmentControl names the variable with the default of -control.
const environmentControl = "JUJUBECTL_CONTROL"

// app is what all commands share.
type app struct {
	in        io.Reader
	out, errs io.Writer

	control string
	json    bool
	author  string
}

func newApp(in io.Reader, out, errs io.Writer, env func(string) string) *app {
	a := &app{in: in, out: out, errs: errs, control: env(environmentControl)}
	if u, err := user.Current(); err == nil {
		a.author = u.Username
	}
	return a
}

// setFlags declares the common flags. They may stand before or after the name
// of a command, so that their defaults are the present values.
func (a *app) setFlags(f *flag.FlagSet) {
	f.StringVar(&a.control, "control", a.control, "control `ADDR[,ADDR...]` of instances, tried in order (environment: "+environmentControl+")")
	f.BoolVar(&a.json, "json", a.json, "write JSON instead of tables")
	f.StringVar(&a.author, "author", a.author, "`NAME` under which a change is recorded")
}

// usageError is a wrong command line.
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
		return failure{Code: exitUsage, Message: usage.Error(), Next: "see jujubectl help, or set -control or " + environmentControl}
	case errors.As(err, &p):
		return classifyProblem(p)
	case errors.Is(err, control.ErrUnreachable):
		return failure{Code: exitUnreachable, Message: err.Error(), Next: "give -control other instances, or check the network and that the instances run"}
	case errors.Is(err, control.ErrOutcomeUnknown):
		return failure{Code: exitUnknown, Message: err.Error(), Next: "look with jujubectl status and rules history whether the change is in force before you repeat it"}
	}
	return failure{Code: exitRefused, Message: err.Error(), Next: "correct this and run the command again"}
}

func classifyProblem(p *control.Problem) failure {
	f := failure{Code: exitRefused, Message: p.Error(), Problem: p, Next: "correct the request and run the command again"}
	switch {
	case p.Outcome == string(configsync.Conflict):
		f.Code = exitConflict
		f.Next = "run jujubectl rules show, add your change to the newest text, and apply that"
	case p.Outcome == string(configsync.Unknown):
		f.Code = exitUnknown
		f.Next = "look with jujubectl rules history whether your edit is in force before you repeat it"
	case p.Status >= 500:
		f.Next = "try again in a few seconds, or give -control another instance"
	}
	return f
}

// finish reports an error, if any, and returns the exit status.
func (a *app) finish(err error) subcommands.ExitStatus {
	if err == nil {
		return exitDone
	}
	f := classify(err)
	if a.json {
		a.writeJSON(a.errs, f)
		return subcommands.ExitStatus(f.Code)
	}
	fmt.Fprintf(a.errs, "jujubectl: %s\n", f.Message)
	if f.Problem != nil {
		a.explainProblem(f.Problem)
	}
	fmt.Fprintf(a.errs, "Next: %s.\n", f.Next)
	return subcommands.ExitStatus(f.Code)
}

func (a *app) explainProblem(p *control.Problem) {
	if p.Faults != nil {
		fmt.Fprintln(a.errs, p.Faults.Error())
	}
	if p.Winner != nil {
		fmt.Fprintf(a.errs, "The rules in force are revision %d by %s.\n", p.Winner.Revision, p.Winner.Author)
	}
	for _, c := range p.Changes {
		fmt.Fprintln(a.errs, c)
	}
}

func (a *app) writeJSON(w io.Writer, v any) {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	// A broken output is the reader's choice.
	_ = e.Encode(v)
}

// show writes v as JSON or by the function for humans.
func (a *app) show(v any, human func(w io.Writer)) {
	if a.json {
		a.writeJSON(a.out, v)
		return
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	human(w)
	_ = w.Flush()
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// arguments returns the arguments of a command if their number is right.
func arguments(f *flag.FlagSet, low, high int, usage string) ([]string, error) {
	if n := f.NArg(); n < low || n > high {
		return nil, usageError("usage: jujubectl " + usage)
	}
	return f.Args(), nil
}

// command holds what subcommands asks of every command.
type command struct {
	name, synopsis, usage string
}

func (c command) Name() string     { return c.name }
func (c command) Synopsis() string { return c.synopsis }
func (c command) Usage() string {
	return fmt.Sprintf("jujubectl %s\n  %s.\n", c.usage, c.synopsis)
}

// unary is a command without flags of its own.
type unary struct {
	command
	app     *app
	execute func(ctx context.Context, f *flag.FlagSet) error
}

func (u *unary) SetFlags(f *flag.FlagSet) { u.app.setFlags(f) }

func (u *unary) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return u.app.finish(u.execute(ctx, f))
}
