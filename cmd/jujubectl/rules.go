package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/rules"
)

// baseLine begins the first line of the output of rules show. The line tells
// rules apply on which revision an edit is based; it is not part of the rules.
const baseLine = "# base revision "

// rulesCommand is the rules command, which has subcommands.
type rulesCommand struct {
	command
	app *app
}

func newRulesCommand(a *app) *rulesCommand {
	return &rulesCommand{command{"rules", "Check, apply, show, list and compare rules", "rules check|apply|show|history|diff"}, a}
}

func (c *rulesCommand) SetFlags(f *flag.FlagSet) { c.app.setFlags(f) }

func (c *rulesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verbs := flag.NewFlagSet("rules", flag.ContinueOnError)
	verbs.SetOutput(c.app.errOut)
	commands := commander(verbs, "jujubectl rules", c.app)
	commands.Register(checkCommand(c.app), "")
	commands.Register(newApplyCommand(c.app), "")
	commands.Register(showCommand(c.app), "")
	commands.Register(historyCommand(c.app), "")
	commands.Register(diffCommand(c.app), "")
	if err := verbs.Parse(f.Args()); err != nil {
		return exitUsage
	}
	return commands.Execute(ctx)
}

// baseRevision is the revision on which a file of rules is based, from its base
// line.
type baseRevision struct {
	// known is whether the file has a base line.
	known    bool
	revision uint64
	// editID is empty if the base line has only a revision.
	editID string
}

// String returns the base line.
func (b baseRevision) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s%d %s", baseLine, b.revision, b.editID))
}

// readFile returns the rules in a file, or on standard input if name is "-", and
// the revision in the base line.
func (a *app) readFile(name string) (text string, base baseRevision, err error) {
	var b []byte
	in := a.in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", base, errors.Trace(err)
		}
		defer file.Close()
		in = file
	}
	// One byte more than allowed is read, so that the check finds and reports
	// a text that is too long.
	b, err = io.ReadAll(io.LimitReader(in, rules.MaxStoredBytes+1))
	if err != nil {
		return "", base, errors.Trace(err)
	}
	text = string(b)
	first, rest, _ := strings.Cut(text, "\n")
	fields, found := strings.CutPrefix(first, baseLine)
	if !found {
		return text, base, nil
	}
	number, editID, _ := strings.Cut(strings.TrimSpace(fields), " ")
	base = baseRevision{known: true, editID: editID}
	base.revision, err = strconv.ParseUint(number, 10, 63)
	if err != nil {
		return "", base, errors.Errorf("%s: the base line %q has no revision", name, first)
	}
	return rest, base, nil
}

// rulesProblem converts the errors of a local check to the problem that an
// instance would return. If the file has a base line, line numbers are increased
// by one, because that line is not part of the checked rules.
func rulesProblem(err error, hasBase bool) error {
	var list *rules.ErrorList
	if err == nil || !errors.As(err, &list) {
		return err
	}
	for i := range list.Errors {
		if hasBase && list.Errors[i].Line > 0 {
			list.Errors[i].Line++
		}
	}
	return &control.Problem{Title: "invalid rules", Detail: fmt.Sprintf("the rules have %d faults", len(list.Errors)), Faults: list}
}

func checkCommand(a *app) *simpleCommand {
	const usage = "rules check FILE"
	return &simpleCommand{command{"check", "Check a rules file without applying it", usage}, a, func(_ context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 1, 1, usage)
		if err != nil {
			return err
		}
		text, base, err := a.readFile(args[0])
		if err != nil {
			return err
		}
		set, err := rules.Parse(text)
		if err != nil {
			return rulesProblem(err, base.known)
		}
		result := struct {
			Valid    bool `json:"valid"`
			Regions  int  `json:"regions"`
			Services int  `json:"services"`
		}{true, len(set.Regions), len(set.Services)}
		a.show(result, func(w io.Writer) {
			fmt.Fprintf(w, "The rules are valid: %d regions, %d services.\n", result.Regions, result.Services)
		})
		return nil
	}}
}

func showCommand(a *app) *simpleCommand {
	const usage = "rules show [REVISION]"
	return &simpleCommand{command{"show", "Print the rules in force, or an earlier revision, with the revision in the first line", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 0, 1, usage)
		if err != nil {
			return err
		}
		revision := uint64(0)
		if len(args) == 1 {
			if revision, err = parseRevision(args[0]); err != nil {
				return err
			}
		}
		r, err := a.rules(ctx, revision)
		if err != nil {
			return err
		}
		if a.json {
			a.writeJSON(a.out, r)
			return nil
		}
		_, err = fmt.Fprintf(a.out, "%s\n%s", baseRevision{revision: r.Revision, editID: r.EditID}, r.Text)
		return err
	}}
}

func parseRevision(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil || n == 0 {
		return 0, usageError(fmt.Sprintf("%q is not a revision", s))
	}
	return n, nil
}

func (a *app) rules(ctx context.Context, revision uint64) (control.Rules, error) {
	c, err := a.client()
	if err != nil {
		return control.Rules{}, err
	}
	return c.Rules(ctx, revision)
}

func historyCommand(a *app) *limitedCommand {
	const usage = "rules history [-limit N]"
	return &limitedCommand{simpleCommand: simpleCommand{command{"history", "List revisions of the rules, the newest first", usage}, a, nil}, limit: 20}
}

// limitedCommand is the rules history command, which has a -limit flag.
type limitedCommand struct {
	simpleCommand
	limit int
}

func (l *limitedCommand) SetFlags(f *flag.FlagSet) {
	l.simpleCommand.SetFlags(f)
	f.IntVar(&l.limit, "limit", l.limit, "list up to `N` revisions, at most 100")
}

func (l *limitedCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return l.app.finish(l.list(ctx, f))
}

func (l *limitedCommand) list(ctx context.Context, f *flag.FlagSet) error {
	if _, err := arguments(f, 0, 0, l.usage); err != nil {
		return err
	}
	c, err := l.app.client()
	if err != nil {
		return err
	}
	h, err := c.History(ctx, l.limit)
	if err != nil {
		return err
	}
	l.app.show(h, func(w io.Writer) {
		writeRow(w, "REVISION", "TIME", "AUTHOR", "EDIT")
		for _, r := range h.Revisions {
			writeRow(w, r.Revision, r.Time.Format(time.RFC3339), r.Author, r.EditID)
		}
	})
	return nil
}

func diffCommand(a *app) *simpleCommand {
	const usage = "rules diff FILE | REVISION [REVISION]"
	return &simpleCommand{command{"diff", "Compare the rules in force with a file or a revision, or two revisions", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 1, 2, usage)
		if err != nil {
			return err
		}
		from, to, err := a.diffTexts(ctx, args)
		if err != nil {
			return err
		}
		changes := rules.Diff(from, to)
		a.show(struct {
			Changes []rules.Change `json:"changes"`
		}{changes}, func(w io.Writer) {
			for _, c := range changes {
				fmt.Fprintln(w, c)
			}
			if len(changes) == 0 {
				fmt.Fprintln(w, "No differences.")
			}
		})
		return nil
	}}
}

// diffTexts returns the two texts that rules diff compares.
func (a *app) diffTexts(ctx context.Context, args []string) (from, to string, err error) {
	revision, notRevision := parseRevision(args[0])
	if notRevision != nil && len(args) == 2 {
		return "", "", notRevision
	}
	if notRevision != nil {
		if to, _, err = a.readFile(args[0]); err != nil {
			return "", "", err
		}
		inForce, err := a.rules(ctx, 0)
		return inForce.Text, to, err
	}
	second := uint64(0)
	if len(args) == 2 {
		if second, err = parseRevision(args[1]); err != nil {
			return "", "", err
		}
	}
	before, err := a.rules(ctx, revision)
	if err != nil {
		return "", "", err
	}
	after, err := a.rules(ctx, second)
	return before.Text, after.Text, err
}

// newEditID returns a random edit ID of 26 letters and digits.
func newEditID() string { return rand.Text() }
