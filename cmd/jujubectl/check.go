package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/serve"
	"jujubestile.example/jujubestile/internal/statecheck"
	"jujubestile.example/jujubestile/platform"
)

// maxCheckBytes bounds the files that are read. Instances take states of up to 2 MB.
const maxCheckBytes = 16 << 20

// stateCheckCommand checks a desired state before it is written to the store.
type stateCheckCommand struct {
	command
	app                    *app
	against, settings      string
	memoryMB, files        int
	instances              int
	grace                  time.Duration
	retryRatio, retrySlack float64
}

func newStateCheckCommand(a *app) *stateCheckCommand {
	return &stateCheckCommand{app: a, command: command{"check", "Check a desired state for the users' platform, and compare it with another one",
		"check FILE [-against FILE] [-settings FILE] [-json]"}}
}

// SetFlags implements subcommands.Command.
func (c *stateCheckCommand) SetFlags(f *flag.FlagSet) {
	c.app.setFlags(f)
	f.StringVar(&c.against, "against", "", "`FILE` with the desired state in force, to show what changes")
	f.StringVar(&c.settings, "settings", "", "settings `FILE` of an instance, for the limits of the machines and the regions")
	f.IntVar(&c.memoryMB, "memory-mb", 0, "memory of an instance's machine in `MB` (2^20 bytes), instead of that in the settings")
	f.DurationVar(&c.grace, "grace", 0, "`TIME` from SIGTERM to SIGKILL, instead of that in the settings")
	f.IntVar(&c.files, "max-files", 0, "`NUMBER` of file descriptors of an instance")
	f.IntVar(&c.instances, "instances", 0, "`NUMBER` of instances")
	f.Float64Var(&c.retryRatio, "retry-ratio", -1, "retries per request in the retry `BUDGET`, instead of that in the settings")
	f.Float64Var(&c.retrySlack, "retry-slack", -1, "slack of the retry `BUDGET`, instead of that in the settings")
}

// checkResult is the result of a check as it is written with -json.
type checkResult struct {
	File    string          `json:"file"`
	Valid   bool            `json:"valid"`
	Version desired.Version `json:"version"`
	// Findings are the errors and warnings, by line.
	Findings []statecheck.Finding `json:"findings"`
	// Changes is set only with -against.
	Changes []statecheck.Change `json:"changes"`
}

// Execute implements subcommands.Command.
func (c *stateCheckCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := c.check(f)
	if err != nil {
		return c.app.finish(err)
	}
	if c.app.json {
		c.app.writeJSON(c.app.out, result)
	} else {
		c.write(c.app.out, result)
	}
	return subcommands.ExitStatus(exitCodeOf(result.Findings))
}

// exitCodeOf returns the exit code of the heaviest finding.
func exitCodeOf(findings []statecheck.Finding) int {
	code := exitSuccess
	for _, f := range findings {
		if f.Severity == statecheck.Error {
			return exitRefused
		}
		code = exitWarnings
	}
	return code
}

func (c *stateCheckCommand) check(f *flag.FlagSet) (checkResult, error) {
	// FILE may stand before the flags.
	file := f.Arg(0)
	if f.NArg() > 1 {
		if err := f.Parse(f.Args()[1:]); err != nil {
			return checkResult{}, usageError(err.Error())
		}
		if f.NArg() > 0 {
			file = ""
		}
	}
	if file == "" {
		return checkResult{}, usageError("usage: jujubectl " + c.usage)
	}
	machine, err := c.machine()
	if err != nil {
		return checkResult{}, err
	}
	doc, err := readDocument(file)
	if err != nil {
		return checkResult{}, err
	}
	result := checkResult{File: file, Valid: doc.State != nil, Findings: statecheck.Check(doc, machine)}
	if doc.State != nil {
		result.Version = doc.State.Version
	}
	if c.against == "" || doc.State == nil {
		return result, nil
	}
	old, err := c.readAgainst()
	if err != nil {
		return checkResult{}, err
	}
	result.Changes = statecheck.Compare(old, doc)
	result.Findings = append(result.Findings, statecheck.CheckVersion(old, doc, result.Changes)...)
	return result, nil
}

// readAgainst reads the state in force.
func (c *stateCheckCommand) readAgainst() (*statecheck.Document, error) {
	if _, err := os.Stat(c.against); err != nil {
		if _, _, bad := net.SplitHostPort(c.against); bad == nil {
			return nil, usageError("-against " + c.against + ": an instance shows only the version of its desired state (jujubectl instances); give a file with the state in force")
		}
	}
	old, err := readDocument(c.against)
	if err != nil {
		return nil, err
	}
	if old.State == nil {
		return nil, usageError(fmt.Sprintf("-against %s: %s", c.against, old.Faults[0].Message))
	}
	return old, nil
}

// machine returns the limits of the machines from the settings and the flags.
func (c *stateCheckCommand) machine() (statecheck.Machine, error) {
	m := serve.ListenerLimits()
	if c.settings != "" {
		s, _, err := serve.Load(c.settings)
		if err != nil {
			return m, usageError(fmt.Sprintf("-settings %s: %v", c.settings, err))
		}
		m = s.CheckMachine()
	}
	if c.memoryMB > 0 {
		m.Memory = int64(c.memoryMB) << 20
	}
	if c.grace > 0 {
		m.Grace = c.grace
	}
	if c.retryRatio >= 0 {
		m.RetryRatio, m.HasBudget = c.retryRatio, true
	}
	if c.retrySlack >= 0 {
		m.RetrySlack, m.HasBudget = c.retrySlack, true
	}
	m.Files, m.Instances = c.files, c.instances
	return m, nil
}

// readDocument reads an encoded desired state.
func readDocument(file string) (*statecheck.Document, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, usageError(err.Error())
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, maxCheckBytes+1))
	if err != nil {
		return nil, usageError(err.Error())
	}
	if len(text) > maxCheckBytes {
		return nil, usageError(errors.Errorf("%s has more than %d bytes", file, maxCheckBytes).Error())
	}
	return platform.InspectDesired(text), nil
}

// write writes a result as text: a line for each finding and each change, and a summary.
func (c *stateCheckCommand) write(w io.Writer, r checkResult) {
	problems, warnings := 0, 0
	for _, f := range r.Findings {
		if f.Severity == statecheck.Error {
			problems++
		} else {
			warnings++
		}
		if f.Line > 0 {
			fmt.Fprintf(w, "%s:%d: %s\n", r.File, f.Line, f)
		} else {
			fmt.Fprintf(w, "%s: %s\n", r.File, f)
		}
	}
	for _, change := range r.Changes {
		fmt.Fprintln(w, change)
	}
	fmt.Fprintf(w, "%s: %d errors, %d warnings", r.File, problems, warnings)
	if r.Valid {
		fmt.Fprintf(w, ", version %08x", uint64(r.Version))
	}
	if r.Valid && c.against != "" {
		fmt.Fprintf(w, ", %d changes against %s", len(r.Changes), c.against)
	}
	fmt.Fprintln(w)
}
