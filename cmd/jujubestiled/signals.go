package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jujubestile.example/jujubestile/internal/events"
)

// signalUsage describes the signals of a daemon for its usage text.
const signalUsage = "SIGTERM and SIGINT shut the instance down gracefully; SIGHUP checks the settings file again.\n"

// signals are the signals that a daemon handles until it exits.
type signals struct {
	// reload gets SIGHUP.
	reload chan os.Signal
}

// handleSignals installs the signal handlers of a daemon. It is called before anything
// else, so that no signal but SIGTERM and SIGINT, which cancel the returned context, ends
// the process.
func handleSignals(ctx context.Context) (context.Context, signals, context.CancelFunc) {
	// Otherwise a write to standard output or standard error whose reader has ended
	// would end the process.
	signal.Ignore(syscall.SIGPIPE)
	s := signals{reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	return ctx, s, stop
}

// checkOnReload reads the settings file with load at each reload signal and logs the
// result. It only checks the file, because addresses and names cannot change while the
// process runs.
func (s signals) checkOnReload(ctx context.Context, log events.Logger, file string, load func() (ignored []string, err error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reload:
		}
		ignored, err := load()
		log.Log(events.SettingsRead).Str("file", file).Str("cause", "SIGHUP").Strs("ignored", ignored).AnErr("error", err).Send()
	}
}
