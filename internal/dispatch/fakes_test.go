package dispatch_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/retry"
)

// parts are fakes of all that a Dispatcher uses, with counts to check.
type parts struct {
	mu          sync.Mutex
	script      []func(ctx context.Context) (*dispatch.Response, error)
	sends       []sentTo
	held        int             // slots
	heldUntil   []time.Duration // of ReleaseAt, from the call
	outstanding int             // of the balancer
	observed    []dispatch.Observation
	intents     int
	intentErr   error
	endpoints   int
	refusal     *dispatch.RefusalError
	noHedge     bool
	preempt     func()
	verdict     dispatch.Verdict
	running     int // of the quarantine
	crashes     int
	cancelled   int
	alone       int
}

type sentTo struct {
	endpoint model.EndpointID
	intents  int
	end      error
	finished bool
	// overlaps means that an earlier attempt was still in flight.
	overlaps bool
}

func (p *parts) dispatcher() *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Region: "r", Admission: p, Balancer: p, Transport: p, Quarantine: p,
		Retry: retry.NewPolicy(rand.New(rand.NewPCG(1, 2))),
	})
}

func (p *parts) Admit(ctx context.Context, n dispatch.Need) (dispatch.Permit, error) {
	if p.refusal != nil {
		return nil, p.refusal
	}
	if ctx.Err() != nil || len(n.Exclude) > 0 {
		return nil, &dispatch.RefusalError{Reason: dispatch.ReasonDeadline}
	}
	p.mu.Lock()
	p.held++
	p.mu.Unlock()
	return &permit{p: p}, nil
}

func (p *parts) TryAdmit(time.Time, dispatch.Need) (dispatch.Permit, bool) {
	if p.noHedge {
		return nil, false
	}
	got, err := p.Admit(context.Background(), dispatch.Need{})
	return got, err == nil
}

type permit struct {
	p        *parts
	released bool
}

func (t *permit) Region() model.Region   { return "r" }
func (t *permit) Answered(time.Duration) {}
func (t *permit) Release()               { t.release(0) }
func (t *permit) ReleaseAt(at time.Time) { t.release(time.Until(at)) }

func (t *permit) Preemptible(cancel func()) {
	t.p.mu.Lock()
	t.p.preempt = cancel
	t.p.mu.Unlock()
}

func (t *permit) release(held time.Duration) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.released {
		panic("slot released twice")
	}
	t.released = true
	t.p.held--
	if held > 0 {
		t.p.heldUntil = append(t.p.heldUntil, held)
	}
}

func (p *parts) Pick(_ time.Time, _ model.Service, r model.Region, exclude []model.EndpointID) (model.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range []model.EndpointID{"a", "b", "c", "d", "e", "f"}[:p.endpoints] {
		if !slices.Contains(exclude, id) {
			p.outstanding++
			return model.Endpoint{ID: id, Region: r}, true
		}
	}
	return model.Endpoint{}, false
}

func (p *parts) PickAlone(now time.Time, s model.Service, r model.Region, exclude []model.EndpointID) (model.Endpoint, bool) {
	p.alone++
	return p.Pick(now, s, r, exclude)
}

func (p *parts) Observe(_ time.Time, o dispatch.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding--
	p.observed = append(p.observed, o)
}

func (p *parts) Cancel(model.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding--
}

func (p *parts) Send(ctx context.Context, to model.Endpoint, _ *dispatch.Request) (*dispatch.Response, error) {
	p.mu.Lock()
	i := len(p.sends)
	overlaps := slices.ContainsFunc(p.sends, func(s sentTo) bool { return !s.finished })
	p.sends = append(p.sends, sentTo{endpoint: to.ID, intents: p.intents, overlaps: overlaps})
	step := p.script[min(i, len(p.script)-1)]
	p.mu.Unlock()
	response, err := step(ctx)
	p.mu.Lock()
	p.sends[i].end, p.sends[i].finished = err, true
	p.mu.Unlock()
	return response, err
}

func (p *parts) Intent(context.Context) error {
	p.intents++
	return p.intentErr
}

func (p *parts) Check(uint64) dispatch.Verdict { return p.verdict }

func (p *parts) Started(uint64, model.EndpointID) {
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
}

func (p *parts) Finished(_ uint64, _ model.EndpointID, crashed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	if crashed {
		p.crashes++
	}
}

func (p *parts) Cancelled(uint64, model.EndpointID) {
	p.mu.Lock()
	p.running--
	p.cancelled++
	p.mu.Unlock()
}

// Endings of a Send.
func status(code int) func(context.Context) (*dispatch.Response, error) {
	return func(context.Context) (*dispatch.Response, error) {
		time.Sleep(10 * time.Millisecond)
		return &dispatch.Response{Status: code, Header: http.Header{}}, nil
	}
}

func fail(err error) func(context.Context) (*dispatch.Response, error) {
	return func(context.Context) (*dispatch.Response, error) {
		time.Sleep(10 * time.Millisecond)
		return nil, err
	}
}

func slow(ctx context.Context) (*dispatch.Response, error) {
	select {
	case <-time.After(3 * time.Second):
		return &dispatch.Response{Status: 200}, nil
	case <-ctx.Done():
		return nil, dispatch.ErrInterrupted
	}
}

func hang(ctx context.Context) (*dispatch.Response, error) {
	<-ctx.Done()
	return nil, dispatch.ErrInterrupted
}
