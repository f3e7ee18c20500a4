package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/serve"
)

// settingsVariable is the environment variable with the default of -config.
const settingsVariable = "JUJUBESTILE_CONFIG"

// logFlushTimeout is the timeout for writing the buffered log lines at the end.
const logFlushTimeout = 100 * time.Millisecond

type serveCommand struct {
	file  string
	check bool
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an entry instance on the users' platform" }
func (*serveCommand) Usage() string {
	return "serve [-config FILE] [-check]\n\n" + signalUsage
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", os.Getenv(settingsVariable), "settings file (JSON with comments); default from "+settingsVariable)
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, signals, stop := handleSignals(ctx)
	defer stop()
	s, ignored, err := serve.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if c.check {
		fmt.Println("settings are valid")
		return subcommands.ExitSuccess
	}
	sink := events.NewSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "log.level:", err)
		return subcommands.ExitFailure
	}
	log := events.New(sink, level, string(s.Instance))
	log.Log(events.SettingsRead).Str("file", c.file).Strs("ignored", ignored).Send()
	go signals.checkOnReload(ctx, log, c.file, func() ([]string, error) {
		_, ignored, err := serve.Load(c.file)
		return ignored, err
	})
	if err := serve.New(s, log).Run(ctx); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
