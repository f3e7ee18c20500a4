package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
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
	return "serve [-config FILE] [-check]\n\nSIGTERM and SIGINT shut the instance down gracefully; SIGHUP checks the settings file again.\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", os.Getenv(settingsVariable), "settings file (JSON with comments); default from "+settingsVariable)
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, ignored, err := serve.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if c.check {
		fmt.Println("settings are valid")
		return subcommands.ExitSuccess
	}
	// Signal handlers are installed before anything is started, so that no
	// signal kills the process.
	ctx, stop := handleSignals(ctx)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	sink := events.NewSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "log.level:", err)
		return subcommands.ExitFailure
	}
	log := events.New(sink, level, string(s.Instance))
	log.Log(events.SettingsRead).Str("file", c.file).Strs("ignored", ignored).Send()
	go c.checkOnReload(ctx, reload, log)
	if err := serve.New(s, log).Run(ctx); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// checkOnReload reads the settings file at each reload signal and logs the
// result. It only checks the file, because addresses and names cannot change
// while the process runs.
func (c *serveCommand) checkOnReload(ctx context.Context, reload <-chan os.Signal, log events.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		_, ignored, err := serve.Load(c.file)
		log.Log(events.SettingsRead).Str("file", c.file).Str("cause", "SIGHUP").Strs("ignored", ignored).AnErr("error", err).Send()
	}
}
