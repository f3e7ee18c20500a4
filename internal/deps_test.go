// Package internal_test keeps the agreed libraries in go.mod while their first
// users are being written.
package internal_test

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/google/subcommands"
	_ "github.com/rs/zerolog"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/tailscale/hujson"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
