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

// load sends non-repeatable requests through the client package.
type load struct {
	t       *testing.T
	clients []*client.Client
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]model.Outcome
	// errs holds the errors of requests that were not answered.
	errs         map[string]error
	misdelivered []string
	slowest      time.Duration
}

// loadTimeout is the timeout of each request.
const loadTimeout = 4 * time.Second

// startLoad sends rate requests per second until finish is called.
func startLoad(t *testing.T, f *fleet, rate int) *load {
	l := &load{t: t, outcomes: make(map[string]model.Outcome), errs: make(map[string]error)}
	var bootstrap []string
	for _, p := range f.instances {
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
				l.sendOne(i)
			}()
		}
	}()
	return l
}

func (l *load) sendOne(i int) {
	id := fmt.Sprintf("%s-%d", l.t.Name(), i)
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	began := time.Now()
	resp, err := l.clients[i%len(l.clients)].Do(ctx, client.Request{
		Service: "entries", Method: http.MethodPost, Path: "/entry?n=" + fmt.Sprint(i),
		Header: http.Header{standin.WorkHeader: {id}}, Body: []byte("fee"),
	})
	elapsed := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, elapsed)
	l.outcomes[id] = outcomeOf(err)
	if err != nil {
		l.errs[id] = fmt.Errorf("after %s: %w", elapsed.Round(time.Millisecond), err)
	}
	if err == nil && (string(resp.Body) != fmt.Sprintf("POST /entry?n=%d fee", i) || resp.Header.Get(standin.WorkHeader) != id) {
		l.misdelivered = append(l.misdelivered, id)
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

// outcomeCounts counts requests by outcome.
type outcomeCounts struct {
	answered, notRun, unknown int
	// unknownRan is how often requests with an unknown outcome ran.
	unknownRan int
}

// finish stops the load and checks the guarantees that hold under any failure:
// each request ran at most once, an answered one exactly once, one reported as
// not run never, and each response belongs to its request.
func (l *load) finish(f *fleet) outcomeCounts {
	l.t.Helper()
	l.stop()
	l.wg.Wait()
	for _, c := range l.clients {
		c.Close()
	}
	runs := f.runs()
	var sum outcomeCounts
	for id, o := range l.outcomes {
		count := runs[id]
		switch o {
		case model.OutcomeAnswered:
			sum.answered++
		case model.OutcomeNotRun:
			sum.notRun++
		default:
			sum.unknown++
			sum.unknownRan += count
		}
		if count > 1 || o == model.OutcomeAnswered && count != 1 || o == model.OutcomeNotRun && count != 0 {
			l.t.Errorf("%s: outcome %s, ran %d times", id, o, count)
		}
	}
	for id, err := range l.errs {
		l.t.Logf("%s %s %v", id, l.outcomes[id], err)
	}
	for _, id := range l.misdelivered {
		l.t.Errorf("%s got the response to another request", id)
	}
	l.t.Logf("sent %d: answered %d, not run %d, unknown %d (of which ran %d), slowest %s",
		len(l.outcomes), sum.answered, sum.notRun, sum.unknown, sum.unknownRan, l.slowest.Round(time.Millisecond))
	return sum
}
