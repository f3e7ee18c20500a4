package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// defaultWait is the time within which an edit should be in force on all
	// instances.
	defaultWait = 4 * time.Second
	// pollInterval is the time between two status requests of apply.
	pollInterval = 200 * time.Millisecond
	// baseFromFile is the value of -base for which the base is read from the file.
	baseFromFile = -1
)

// applyCommand applies a rules file.
type applyCommand struct {
	simpleCommand
	base int64
	wait time.Duration
}

func newApplyCommand(a *app) *applyCommand {
	const usage = "rules apply [-base REVISION] [-wait DURATION] FILE"
	return &applyCommand{
		simpleCommand: simpleCommand{command{"apply", "Apply a rules file and wait until it is in force on all instances", usage}, a, nil},
		base:          baseFromFile,
		wait:          defaultWait,
	}
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.simpleCommand.SetFlags(f)
	f.Int64Var(&c.base, "base", c.base, "`REVISION` on which the edit is based; by default the one in the file's first line")
	f.DurationVar(&c.wait, "wait", c.wait, "how long to wait until the rules are in force on all instances; 0 does not wait")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.app.finish(c.apply(ctx, f))
}

// applyResult is the result of an accepted edit.
type applyResult struct {
	control.EditReply
	Changes []rules.Change `json:"changes"`
	// Confirmed is set if the rules are in force on all known instances that
	// are not dead.
	Confirmed bool `json:"confirmed"`
	// Unconfirmed lists the instances that have not confirmed within the time
	// given that the rules are in force.
	Unconfirmed []model.InstanceID `json:"unconfirmed"`
	// Waited is the time spent waiting, in seconds.
	Waited float64 `json:"waited_seconds"`
}

func (c *applyCommand) apply(ctx context.Context, f *flag.FlagSet) error {
	args, err := arguments(f, 1, 1, c.usage)
	if err != nil {
		return err
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	text, base, err := c.app.readFile(args[0])
	if err != nil {
		return err
	}
	if _, err := rules.Parse(text); err != nil {
		return rulesProblem(err, base.known)
	}
	before, err := rulesInForce(ctx, client)
	if err != nil {
		return err
	}
	if base, err = c.chooseBase(base, before); err != nil {
		return err
	}
	if before.Revision > 0 && before.Text == text {
		c.app.show(applyResult{EditReply: control.EditReply{RevisionInfo: before.RevisionInfo}}, func(w io.Writer) {
			fmt.Fprintf(w, "Revision %d already has these rules; nothing to do.\n", before.Revision)
		})
		return nil
	}
	reply, err := client.Edit(ctx, control.EditRequest{
		Text: text, Author: c.app.author, Base: base.revision, BaseEditID: base.editID, EditID: newEditID(),
	})
	if err != nil {
		return err
	}
	result := applyResult{EditReply: reply, Changes: rules.Diff(before.Text, text)}
	c.awaitConfirmation(ctx, client, &result)
	c.report(result)
	return nil
}

// rulesInForce returns the rules in force, or revision 0 if there are none.
func rulesInForce(ctx context.Context, client *control.Client) (control.Rules, error) {
	r, err := client.Rules(ctx, 0)
	var p *control.Problem
	if errors.As(err, &p) && p.Status == http.StatusNotFound {
		return control.Rules{}, nil
	}
	return r, err
}

// chooseBase returns the base revision of the edit, from the flag or the file.
// Without either it returns an error instead of using the revision in force,
// because the text may lack what another operator has added since it was read.
func (c *applyCommand) chooseBase(base baseRevision, before control.Rules) (baseRevision, error) {
	switch {
	case c.base >= 0:
		return baseRevision{revision: uint64(c.base)}, nil
	case base.known || before.Revision == 0:
		return base, nil
	}
	return base, usageError(fmt.Sprintf("the file does not say which revision it is based on: edit the output of rules show, or give -base (revision %d is in force)", before.Revision))
}

// awaitConfirmation polls the status until the revision is in force on all known
// instances that are not dead, or until the wait time is over.
func (c *applyCommand) awaitConfirmation(ctx context.Context, client *control.Client, result *applyResult) {
	result.Unconfirmed = []model.InstanceID{}
	if c.wait <= 0 {
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	for {
		if s, err := client.Status(ctx); err == nil {
			result.Unconfirmed = unconfirmed(s, result.Revision)
			result.Confirmed = len(result.Unconfirmed) == 0
		}
		result.Waited = time.Since(start).Seconds()
		if result.Confirmed || !sleep(ctx, pollInterval) {
			return
		}
	}
}

func unconfirmed(s control.Status, revision uint64) []model.InstanceID {
	out := []model.InstanceID{}
	for _, m := range s.Members {
		if m.State != control.StateDead && m.Revision < revision {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)
	return out
}

// sleep waits for d. It returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (c *applyCommand) report(r applyResult) {
	c.app.show(r, func(w io.Writer) {
		for _, change := range r.Changes {
			fmt.Fprintln(w, change)
		}
		fmt.Fprintf(w, "Revision %d is accepted.\n", r.Revision)
		switch {
		case c.wait <= 0:
		case r.Confirmed:
			fmt.Fprintf(w, "It is in force at all known instances after %s.\n", seconds(r.Waited))
		case len(r.Unconfirmed) == 0:
			fmt.Fprintf(w, "No instance responded within %s.\nNext: check with jujubectl status where it is in force.\n", c.wait)
		default:
			fmt.Fprintf(w, "%d instances have not confirmed it within %s: %s\n", len(r.Unconfirmed), c.wait, join(r.Unconfirmed))
			fmt.Fprintln(w, "Next: check them with jujubectl status; they fetch the revision as soon as they can reach a neighbour.")
		}
	})
}

func join(ids []model.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}
