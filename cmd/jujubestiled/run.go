package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/daemon"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/settings"
	"jujubestile.example/jujubestile/internal/telemetry"
)

// spanFlushTimeout is the timeout for writing the buffered spans at the end.
const spanFlushTimeout = 2 * time.Second

// configFlag is the -config flag of the commands run and check.
type configFlag struct {
	file string
}

// SetFlags implements subcommands.Command.
func (c *configFlag) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", "", "settings file (JSON with comments)")
}

// load reads the settings file and prints its errors to standard error.
func (c *configFlag) load() (settings.Settings, subcommands.ExitStatus) {
	if c.file == "" {
		fmt.Fprintln(os.Stderr, "missing -config FILE; jujubestiled.example.json shows every setting")
		return settings.Settings{}, subcommands.ExitUsageError
	}
	s, err := settings.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.Settings{}, subcommands.ExitFailure
	}
	return s, subcommands.ExitSuccess
}

type runCommand struct{ configFlag }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an instance" }
func (*runCommand) Usage() string {
	return "run -config FILE\n\n" + signalUsage
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, signals, stop := handleSignals(ctx)
	defer stop()
	s, status := c.load()
	if status != subcommands.ExitSuccess {
		return status
	}
	level, _ := zerolog.ParseLevel(s.Log.Level)
	sink := events.NewSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	log := events.New(sink, level, string(s.Instance))
	tracer, err := telemetry.Open(s.Trace.File, string(s.Instance), s.Trace.Sample)
	if err != nil {
		log.Log(events.StartFailed).Err(err).Send()
		return subcommands.ExitFailure
	}
	go signals.checkOnReload(ctx, log, c.file, func() ([]string, error) {
		_, err := settings.Load(c.file)
		return nil, err
	})
	d := daemon.New(s, log, tracer)
	d.PublishVars()
	debug.SetMemoryLimit(daemon.CollectorLimit(s))
	defer d.WatchMemory()()
	err = d.Run(ctx)
	flush, cancel := context.WithTimeout(context.Background(), spanFlushTimeout)
	defer cancel()
	_ = tracer.Close(flush)
	if err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type checkCommand struct{ configFlag }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string    { return "check -config FILE\n" }

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, status := c.load()
	if status == subcommands.ExitSuccess {
		fmt.Println("settings are valid")
	}
	return status
}
