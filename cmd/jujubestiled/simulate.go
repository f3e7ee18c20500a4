package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"jujubestile.example/jujubestile/internal/fleetsim"
)

type simulateCommand struct {
	pattern string
	seeds   uint64
	load    float64
}

func (*simulateCommand) Name() string { return "simulate" }
func (*simulateCommand) Synopsis() string {
	return "simulate the routing policy on load patterns in virtual time"
}
func (*simulateCommand) Usage() string {
	return "simulate [-pattern NAME] [-seeds N] [-load X]\n\nFor the product and for random selection of endpoints, prints the shares of requests\nthat were on time, answered and refused, the on-time share of the worst two seconds,\nand the largest shift.\n"
}

// SetFlags implements subcommands.Command.
func (c *simulateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.pattern, "pattern", "", "one of: "+strings.Join(fleetsim.PatternNames(), ", ")+"; default all")
	f.Uint64Var(&c.seeds, "seeds", 3, "number of runs of each pattern; the table shows the means, and the largest shift of all runs")
	f.Float64Var(&c.load, "load", 1, "factor by which all request rates are multiplied")
}

// Execute implements subcommands.Command.
func (c *simulateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	names := fleetsim.PatternNames()
	if c.pattern != "" {
		if fleetsim.Patterns[c.pattern] == nil {
			fmt.Fprintf(os.Stderr, "unknown pattern %q, one of: %s\n", c.pattern, strings.Join(names, ", "))
			return subcommands.ExitUsageError
		}
		names = []string{c.pattern}
	}
	if c.seeds < 1 || c.load <= 0 {
		fmt.Fprintln(os.Stderr, "seeds must be at least 1 and load above 0")
		return subcommands.ExitUsageError
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PATTERN\tVARIANT\tON TIME\tANSWERED\tREFUSED\tWORST 2 S\tLARGEST SHIFT")
	for _, name := range names {
		for _, random := range []bool{false, true} {
			c.writeRow(w, name, random)
		}
	}
	if err := w.Flush(); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// writeRow prints the means over the runs of a pattern.
func (c *simulateCommand) writeRow(w *tabwriter.Writer, name string, random bool) {
	var onTime, answered, refused, worst, shift float64
	n := float64(c.seeds)
	for seed := range c.seeds {
		cfg := fleetsim.Patterns[name]()
		cfg.Seed, cfg.Naive = seed+1, random
		cfg.Scale(c.load)
		r := fleetsim.Run(cfg)
		onTime += r.OnTimeShare() / n
		answered += r.AnsweredShare() / n
		refused += float64(r.Refused) / float64(max(r.Requests, 1)) / n
		worst += r.WorstWindow / n
		shift = max(shift, r.MaxShift)
	}
	variant := "product"
	if random {
		variant = "random"
	}
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", name, variant, onTime, answered, refused, worst, shift)
}
