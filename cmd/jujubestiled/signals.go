package main

import (
	"context"
	"os/signal"
	"syscall"
)

// handleSignals returns a context that SIGTERM and SIGINT cancel, and ignores SIGPIPE: a
// write to standard output or standard error whose reader has ended would end the process.
func handleSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE)
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}
