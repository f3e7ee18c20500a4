package proctest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/client"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/standin"
)

// load sends requests that may not be repeated through the callers' package.
type load struct {
	t       *testing.T
	clients []*client.Client
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]model.Outcome
	// errs says why requests were not answered.
	errs    map[string]error
	foreign []string
	slowest time.Duration
}

// loadTimeout is the deadline of each request.
const loadTimeout = 4 * time.Second

// startLoad sends rate requests a second until finish.
func startLoad(t *testing.T, f *fleet, rate int) *load {
	l := &load{t: t, outcomes: make(map[string]model.Outcome), errs: make(map[string]error)}
	var bootstrap []string
	for _, p := range f.entries {
		bootstrap = append(bootstrap, p.entryAddr)
	}
	for i := range fleetRegions {
		for j := range blocksPerRegion {
			l.clients = append(l.clients, client.New(client.Config{Bootstrap: bootstrap, CallerAddr: fmt.Sprintf("10.%d.%d.1", i+1, j)}))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.one(i)
			}()
		}
	}()
	return l
}

func (l *load) one(i int) {
	work := fmt.Sprintf("%s-%d", l.t.Name(), i)
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	began := time.Now()
	resp, err := l.clients[i%len(l.clients)].Do(ctx, client.Request{
		Service: "entries", Method: http.MethodPost, Path: "/entry?n=" + fmt.Sprint(i),
		Header: http.Header{standin.WorkHeader: {work}}, Body: []byte("fee"),
	})
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, took)
	l.outcomes[work] = outcomeOf(err)
	if err != nil {
		l.errs[work] = fmt.Errorf("after %s: %w", took.Round(time.Millisecond), err)
	}
	if err == nil && (string(resp.Body) != fmt.Sprintf("POST /entry?n=%d fee", i) || resp.Header.Get(standin.WorkHeader) != work) {
		l.foreign = append(l.foreign, work)
	}
}

func outcomeOf(err error) model.Outcome {
	var notRun *client.NotRunError
	switch {
	case err == nil:
		return model.OutcomeAnswered
	case errors.As(err, &notRun):
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}

// tally counts the outcomes.
type tally struct {
	answered, notRun, unknown int
	// unknownRan is how many requests with an unknown outcome had run.
	unknownRan int
}

// finish stops the load and checks what holds under any failure: each piece of
// work ran at most once, answered ones exactly once, those reported as not run
// never, and each answer was the caller's own.
func (l *load) finish(f *fleet) tally {
	l.t.Helper()
	l.stop()
	l.wg.Wait()
	for _, c := range l.clients {
		c.Close()
	}
	runs := f.runs()
	var sum tally
	for work, o := range l.outcomes {
		n := runs[work]
		switch o {
		case model.OutcomeAnswered:
			sum.answered++
		case model.OutcomeNotRun:
			sum.notRun++
		default:
			sum.unknown++
			sum.unknownRan += n
		}
		if n > 1 || o == model.OutcomeAnswered && n != 1 || o == model.OutcomeNotRun && n != 0 {
			l.t.Errorf("%s: outcome %s, ran %d times", work, o, n)
		}
	}
	for work, err := range l.errs {
		l.t.Logf("%s %s %v", work, l.outcomes[work], err)
	}
	for _, work := range l.foreign {
		l.t.Errorf("%s got another request's answer", work)
	}
	l.t.Logf("sent %d: answered %d, not run %d, unknown %d (of which ran %d), slowest %s",
		len(l.outcomes), sum.answered, sum.notRun, sum.unknown, sum.unknownRan, l.slowest.Round(time.Millisecond))
	return sum
}
