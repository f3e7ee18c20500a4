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
	// defaultWait is the time within which an edit is to be in force
	// everywhere.
	defaultWait = 4 * time.Second
	// pollInterval is how often apply asks for the status.
	pollInterval = 200 * time.Millisecond
	// noBase is the value of -base that leaves the base to the file.
	noBase = -1
)

// applyCommand writes a rules file.
type applyCommand struct {
	unary
	base int64
	wait time.Duration
}

func newApplyCommand(a *app) *applyCommand {
	const usage = "rules apply [-base REVISION] [-wait DURATION] FILE"
	return &applyCommand{
		unary: unary{command{"apply", "Put a rules file in force and wait until it is in force everywhere", usage}, a, nil},
		base:  noBase,
		wait:  defaultWait,
	}
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.unary.SetFlags(f)
	f.Int64Var(&c.base, "base", c.base, "`REVISION` that was edited; by default the one in the file's first line")
	f.DurationVar(&c.wait, "wait", c.wait, "how long to wait until all instances have the rules in force; 0 does not wait")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.app.finish(c.apply(ctx, f))
}

// applied is the result of an accepted edit.
type applied struct {
	control.EditReply
	Changes []rules.Change `json:"changes"`
	// Confirmed means that all known instances were seen to have the rules in
	// force.
	Confirmed bool `json:"confirmed"`
	// Unconfirmed names the instances that were not seen to have the rules in
	// force in the time given.
	Unconfirmed []model.InstanceID `json:"unconfirmed"`
	// Waited is in seconds.
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
	text, base, based, err := c.app.readFile(args[0])
	if err != nil {
		return err
	}
	if _, err := rules.Parse(text); err != nil {
		return faults(err, based)
	}
	before, err := current(ctx, client)
	if err != nil {
		return err
	}
	if base, err = c.chooseBase(base, based, before); err != nil {
		return err
	}
	if before.Revision > 0 && before.Text == text {
		c.app.show(applied{EditReply: control.EditReply{RevisionInfo: before.RevisionInfo}}, func(w io.Writer) {
			fmt.Fprintf(w, "Revision %d already has these rules; nothing to do.\n", before.Revision)
		})
		return nil
	}
	reply, err := client.Edit(ctx, control.EditRequest{Text: text, Author: c.app.author, Base: base, EditID: newEditID()})
	if err != nil {
		return err
	}
	result := applied{EditReply: reply, Changes: rules.Diff(before.Text, text)}
	c.await(ctx, client, &result)
	c.report(result)
	return nil
}

// current returns the rules in force, or revision 0 if there are none.
func current(ctx context.Context, client *control.Client) (control.Rules, error) {
	r, err := client.Rules(ctx, 0)
	var p *control.Problem
	if errors.As(err, &p) && p.Status == http.StatusNotFound {
		return control.Rules{}, nil
	}
	return r, err
}

// chooseBase refuses to guess: a text without a base may lack what another
// operator has added since it was read.
func (c *applyCommand) chooseBase(base uint64, based bool, before control.Rules) (uint64, error) {
	switch {
	case c.base >= 0:
		return uint64(c.base), nil
	case based || before.Revision == 0:
		return base, nil
	}
	return 0, usageError(fmt.Sprintf("the file does not say which revision it is based on: edit the text of rules show, or give -base (in force is %d)", before.Revision))
}

// await asks for the status until all known instances that are not dead have
// the revision, or the time is over.
func (c *applyCommand) await(ctx context.Context, client *control.Client, result *applied) {
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

// sleep reports whether the context still runs.
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

func (c *applyCommand) report(r applied) {
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
			fmt.Fprintf(w, "No instance answered within %s.\nNext: look with jujubectl status where it is in force.\n", c.wait)
		default:
			fmt.Fprintf(w, "%d instances have not confirmed it within %s: %s\n", len(r.Unconfirmed), c.wait, join(r.Unconfirmed))
			fmt.Fprintln(w, "Next: look at them with jujubectl status; they take the revision as soon as they reach a neighbour.")
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
