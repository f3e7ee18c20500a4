package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/model"
)

func statusCommand(a *app) *simpleCommand {
	const usage = "status"
	return &simpleCommand{command{"status", "Show all entry instances and the rules revision in force on each", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		if _, err := arguments(f, 0, 0, usage); err != nil {
			return err
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		a.show(s, func(w io.Writer) { statusTable(w, s) })
		return nil
	}}
}

func statusTable(w io.Writer, s control.Status) {
	writeRow(w, "INSTANCE", "REGION", "DOMAIN", "STATE", "RULES", "AGE")
	for _, m := range s.Members {
		state := m.State
		if m.Draining {
			state += ",draining"
		}
		writeRow(w, m.ID, m.Region, m.Domain, state, m.Revision, seconds(m.ReportAge))
	}
	ready := "ready"
	if !s.Ready {
		ready = "not ready"
	}
	fmt.Fprintf(w, "\nSeen by %s (%s), rules revision %d", s.Self, ready, s.Revision)
	if s.Author != "" {
		fmt.Fprintf(w, " by %s", s.Author)
	}
	fmt.Fprintln(w, ".")
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
}

func entriesCommand(a *app) *simpleCommand {
	const usage = "entries ADDRESS"
	return &simpleCommand{command{"entries", "Show which entry instances a lookup returns to a caller", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 1, 1, usage)
		if err != nil {
			return err
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		e, err := c.Entries(ctx, args[0])
		if err != nil {
			return err
		}
		a.show(e, func(w io.Writer) {
			writeRow(w, "INSTANCE", "REGION", "ADDRESS", "WHY")
			for _, x := range e.Entries {
				writeRow(w, x.Instance, x.Region, x.Address, x.Reason)
			}
			fmt.Fprintf(w, "\nFor caller %s, valid for %s; the first one is preferred.\n", e.Caller, seconds(e.TTL))
		})
		return nil
	}}
}

func explainCommand(a *app) *simpleCommand {
	const usage = "explain SERVICE METHOD PATH [CALLER]"
	return &simpleCommand{command{"explain", "Show how a request would be classified and routed", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 3, 4, usage)
		if err != nil {
			return err
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		x, err := c.Explain(ctx, args[0], args[1], args[2], strings.Join(args[3:], ""))
		if err != nil {
			return err
		}
		a.show(x, func(w io.Writer) { explanationTable(w, x) })
		return nil
	}}
}

func explanationTable(w io.Writer, x control.Explanation) {
	writeRow(w, "Request", fmt.Sprintf("%s %s %s", x.Service, x.Method, x.Path))
	writeRow(w, "Priority", x.Priority)
	writeRow(w, "Repeatable", yesNo(x.Repeatable))
	writeRow(w, "Weights held", yesNo(x.Held))
	if x.Caller != "" {
		writeRow(w, "Caller", fmt.Sprintf("%s (region %s)", x.Caller, orUnknown(string(x.CallerRegion))))
	}
	writeRow(w, "Rules", fmt.Sprintf("revision %d", x.Revision))
	fmt.Fprintln(w)
	writeRow(w, "REGION", "WEIGHT", "CAPACITY", "SLOTS HERE", "FREE", "ENDPOINTS", "NOTES")
	for _, r := range x.Regions {
		var notes []string
		if r.Drained {
			notes = append(notes, "drained")
		}
		if r.ShiftCapped {
			notes = append(notes, "shift cap reached")
		}
		writeRow(w, r.Region, fmt.Sprintf("%.1f%%", r.Weight*100), r.Capacity, r.Slots, r.Free, r.Endpoints, strings.Join(notes, ", "))
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orUnknown(s string) string {
	if s == "" {
		return "unknown"
	}
	return s
}

func drainCommand(a *app, draining bool) *simpleCommand {
	name, synopsis, done := "undrain", "End the drain of an entry instance, so that lookups return it again", "is returned by lookups again"
	if draining {
		name, synopsis, done = "drain", "Drain an entry instance, so that lookups no longer return it", "is draining and no longer returned by lookups"
	}
	usage := name + " INSTANCE"
	return &simpleCommand{command{name, synopsis, usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 1, 1, usage)
		if err != nil {
			return err
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		r, err := c.SetDraining(ctx, model.InstanceID(args[0]), draining, a.author)
		if err != nil {
			return err
		}
		a.show(r, func(w io.Writer) { fmt.Fprintf(w, "%s %s.\n", r.Instance, done) })
		return nil
	}}
}
