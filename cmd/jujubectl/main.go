// Command jujubectl is the operators' command-line client.
//
// Exit codes:
//
//	0  success
//	1  refused by the system, or a check failed
//	2  usage error
//	3  no instance can be reached
//	4  the outcome is unknown
//	5  conflict with another operator's edit
//	6  a check found warnings, but no errors
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"path"

	"github.com/google/subcommands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr, os.Getenv))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer, env func(string) string) int {
	a := newApp(in, out, errOut, env)
	flags := flag.NewFlagSet(path.Base(args[0]), flag.ContinueOnError)
	flags.SetOutput(errOut)
	a.setFlags(flags)
	c := commander(flags, path.Base(args[0]), a)
	c.Register(newRulesCommand(a), "")
	c.Register(statusCommand(a), "")
	c.Register(entriesCommand(a), "")
	c.Register(explainCommand(a), "")
	c.Register(requestCommand(a), "")
	c.Register(departuresCommand(a), "")
	c.Register(instancesCommand(a), "")
	c.Register(newStateCheckCommand(a), "")
	c.Register(tenantsCommand(a), "")
	c.Register(drainCommand(a, true), "")
	c.Register(drainCommand(a, false), "")
	if err := flags.Parse(args[1:]); err != nil {
		if err == flag.ErrHelp {
			return exitSuccess
		}
		return exitUsage
	}
	return int(c.Execute(ctx))
}

func commander(flags *flag.FlagSet, name string, a *app) *subcommands.Commander {
	c := subcommands.NewCommander(flags, name)
	c.Output, c.Error = a.out, a.errOut
	c.Register(c.HelpCommand(), "help")
	c.Register(c.FlagsCommand(), "help")
	flags.Usage = func() { c.Explain(a.errOut) }
	return c
}
