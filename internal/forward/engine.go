package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/steering"
)

// Transport sends requests to endpoints.
type Transport interface {
	Do(ctx context.Context, to exchange.Target, call *exchange.Call) exchange.Result
}

// EngineConfig holds what an Engine needs. All fields but Gate and Quarantine
// are required.
type EngineConfig struct {
	Log       events.Logger
	Table     *steering.Table
	Transport Transport
	Budget    *Budget
	Rand      *rand.Rand
	// State returns the desired state in force, or nil.
	State func() *desired.State
	// Instances returns how many instances share the endpoints' connections.
	Instances func() int
	// OnUnreachable is called when an endpoint cannot be reached or its address
	// belongs to another one.
	OnUnreachable func(steering.Endpoint, error)
	// Admission gives a slot in a region before an endpoint is chosen there. Nil
	// leaves the choice of the region to the table.
	Admission AdmissionController
	// Quarantine may be nil.
	Quarantine Quarantine
}

// Engine takes requests to endpoints until there is an answer.
type Engine struct {
	cfg      EngineConfig
	split    *splitter
	patience *patience
	lines    *lines
	metrics  *Metrics
	// detached counts attempts that go on without their caller.
	detached      sync.WaitGroup
	sampleOK      events.Limiter
	sampleRefused events.Limiter
	sampleFailed  events.Limiter
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, split: newSplitter(cfg.Rand), patience: newPatience(), lines: newLines(), metrics: newMetrics(),
		sampleOK:      events.Limiter{PerSecond: okLines},
		sampleRefused: events.Limiter{PerSecond: refusedLines},
		sampleFailed:  events.Limiter{PerSecond: failedLines},
	}
}

const (
	// okLines, refusedLines and failedLines bound the log lines a second.
	okLines, refusedLines, failedLines = 2, 30, 100
)

// Request is a request on its way to endpoints. It does not change any more:
// attempts may read it after the answer.
type Request struct {
	// ID identifies the request in logs, and in endpoints' responses.
	ID      string
	Route   *desired.Route
	Version desired.Version
	Arrived time.Time
	// CallerTimeout is how long the caller said it waits, for the log.
	CallerTimeout time.Duration
	// Deadline is when no answer is of use any more, by the caller's wait and the
	// route's timeout.
	Deadline time.Time
	// SoftDeadline is when an answer loses its full value.
	SoftDeadline time.Time
	// ObjectName names what the request concerns, and Object is a hash of it
	// and the route, or 0.
	ObjectName string
	Object     uint32
	// Method, Target (the path with the query), Host, Header and Body are what
	// the endpoint gets.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// CallerRetries is how often the caller says it has sent the work before.
	CallerRetries int
	// RecordIntent, if set, is called once, directly before the request is sent for
	// the first time. It is sent only if RecordIntent returns nil.
	RecordIntent func(context.Context) error
}

// Metrics returns the engine's counters.
func (e *Engine) Metrics() *Metrics { return e.metrics }

// Waiting returns the number of requests in line for a slot.
func (e *Engine) Waiting() int { return e.lines.waiting() }

// Wait waits for attempts that go on without their caller.
func (e *Engine) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { e.detached.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Record counts and logs the end of a request. Routes are missing in requests
// that were refused before one was found.
func (e *Engine) Record(req *Request, a Answer, took time.Duration) {
	e.metrics.finished(req, a, took)
	e.logAnswer(req, a, took)
}
