package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Transport sends requests to endpoints.
type Transport interface {
	Do(ctx context.Context, to exchange.Target, call *exchange.Call) exchange.Result
}

// EngineConfig configures an Engine. All fields but Proven, Admission,
// Quarantine and Quota are required.
type EngineConfig struct {
	Log       events.Logger
	Table     *steering.Table
	Transport Transport
	Budget    *Budget
	// Rand must not be used elsewhere, because it is not safe for concurrent
	// use.
	Rand *rand.Rand
	// State returns the desired state in force, or nil.
	State func() *desired.State
	// Behind reports whether this instance knows that it lacks changes of the desired
	// state or of endpoints, so that requests must not be sent. It may be nil.
	Behind func() bool
	// Proven reports whether this instance knows that the desired state of a version
	// is recent enough to judge API keys. If it is nil, every state is.
	Proven func(desired.Version) bool
	// Instances returns the number of instances that share the connections to
	// endpoints.
	Instances func() int
	// OnUnreachable is called if an endpoint cannot be reached or if its
	// address belongs to another one.
	OnUnreachable func(steering.Endpoint, error)
	// OnRateLimit is called with the rate limit, in requests per second, in each
	// response of an endpoint; named is false if it names none. It may be nil.
	OnRateLimit func(id model.EndpointID, perSecond float64, named bool)
	// OnLeaving is called when an endpoint's response has shown that it is leaving.
	// It may be nil.
	OnLeaving func(steering.Endpoint)
	// Admission grants a slot in a region before an endpoint is chosen there.
	// If it is nil, the table chooses the region.
	Admission AdmissionController
	// Quarantine may be nil.
	Quarantine Quarantine
	// Quota may be nil.
	Quota Quota
}

// Engine sends requests to endpoints until there is an answer.
type Engine struct {
	cfg      EngineConfig
	split    *splitter
	timeouts *callerTimeouts
	queues   *waitQueues
	metrics  *Metrics
	// stop is set by StopAt.
	stop  atomic.Pointer[stopWindow]
	times *requestTimes
	// running counts running attempts, including those that continue without
	// their caller.
	running  sync.WaitGroup
	sampleOK events.Limiter
	// sampleRegional is for answered requests whose route has allowed regions.
	sampleRegional events.Limiter
	sampleRefused  events.Limiter
	sampleFailed   events.Limiter
	// sampleSpeed is for speeds that cannot be read: an endpoint may send them in
	// each response.
	sampleSpeed events.Limiter
}

// reasonBehind is the reason for refusing requests while this instance lacks changes.
const reasonBehind = "behind"

func (e *Engine) behind() bool { return e.cfg.Behind != nil && e.cfg.Behind() }

// refuseBehind returns a refusal if this instance knows that it lacks changes.
func (e *Engine) refuseBehind() *Answer {
	if e.behind() {
		return refused(reasonBehind, otherInstanceRetryAfter)
	}
	return nil
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, split: newSplitter(cfg.Rand), timeouts: newCallerTimeouts(), queues: newWaitQueues(), metrics: newMetrics(), times: newRequestTimes(),
		sampleOK:       events.Limiter{PerSecond: okLinesPerSecond},
		sampleRegional: events.Limiter{PerSecond: okLinesPerSecond},
		sampleRefused:  events.Limiter{PerSecond: refusedLinesPerSecond},
		sampleFailed:   events.Limiter{PerSecond: failedLinesPerSecond},
		sampleSpeed:    events.Limiter{PerSecond: speedLinesPerSecond},
	}
}

const (
	// okLinesPerSecond, refusedLinesPerSecond and failedLinesPerSecond limit
	// the rates of log lines.
	okLinesPerSecond, refusedLinesPerSecond, failedLinesPerSecond = 2, 30, 100
	// speedLinesPerSecond limits the rate of lines on unreadable speeds.
	speedLinesPerSecond = 1
)

// Request is a request to be sent to endpoints. It must not change once
// passed to Engine.Do, because attempts may still read it after the answer.
type Request struct {
	// ID identifies the request in logs and in responses of endpoints.
	ID      string
	Route   *desired.Route
	Version desired.Version
	Arrived time.Time
	// Key is the hash of the caller's API key, if HasKey is set.
	Key    desired.KeyHash
	HasKey bool
	// Tenant is the tenant that had the key at the last decision, or nil. Charged is the
	// one whose quota the request has taken a token of, or nil.
	Tenant, Charged *desired.Tenant
	// CallerTimeout is how long the caller waits for an answer, for the log.
	CallerTimeout time.Duration
	// Deadline is the time from which an answer is useless, by the caller's
	// timeout and that of the route.
	Deadline time.Time
	// SoftDeadline is the time from which an answer loses value.
	SoftDeadline time.Time
	// ObjectName names the object that the request concerns. Object is a hash
	// of the route and that name, or 0.
	ObjectName string
	Object     uint32
	// Method, Target (path and query), Host, Header and Body are sent to the
	// endpoint. MoreBody are the parts of the body after Body.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	MoreBody             [][]byte
	// CallerRetries is how often the caller has sent the request before.
	CallerRetries int
	// RecordIntent, if set, is called immediately before the request is first
	// sent, and not again once it has returned nil. It records at another
	// instance, the witness, that the request is about to be sent. If it returns
	// an error, the request is not sent.
	RecordIntent func(context.Context) error
	// charge is the memory that the header section and the body take, or nil.
	charge *requestCharge
}

// bodyBytes returns the size of the body.
func (r *Request) bodyBytes() int {
	n := len(r.Body)
	for _, part := range r.MoreBody {
		n += len(part)
	}
	return n
}

// Metrics returns the engine's metrics.
func (e *Engine) Metrics() *Metrics { return e.metrics }

// Waiting returns the number of requests queued at this instance for a slot of an
// endpoint.
func (e *Engine) Waiting() int { return e.queues.waiting() }

// Wait waits until no attempts are running, or until ctx is done.
func (e *Engine) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { e.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Record counts and logs the answer to a request. took is the time from the
// request's arrival to the answer. The request has no route if it was refused
// before one was found.
func (e *Engine) Record(req *Request, a Answer, took time.Duration) {
	e.metrics.finished(req, a, took)
	e.logAnswer(req, a, took)
}

// maxConns returns this instance's share of the connections that the endpoint
// permits.
func (ex *execution) maxConns() int {
	state := ex.cfg.State()
	if state == nil {
		return 0
	}
	limit := state.Services[ex.service].MaxConnections
	return max(limit/max(ex.cfg.Instances(), 1), minConns)
}

// minConns is the minimum of maxConns.
const minConns = 2
