package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"jujubestile.example/jujubestile/internal/demo"
)

type demoCommand struct {
	json    bool
	verbose bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the whole system in one process" }
func (*demoCommand) Usage() string {
	return "demo [-json] [-log]\n\nThe exit code is 0 if every invariant held, and 1 otherwise.\n"
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.BoolVar(&c.verbose, "log", false, "write the log events of all instances to standard error")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := io.Discard
	if c.verbose {
		log = os.Stderr
	}
	report, err := demo.Run(ctx, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return subcommands.ExitFailure
	}
	write := report.WriteTable
	if c.json {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil || len(report.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
