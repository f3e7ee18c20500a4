package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// A service fails for a long time: the retries of all instances must stay
// within the shared budget in each window.
func TestSharedRetryBudget(t *testing.T) {
	const window = 10 * time.Second
	for _, c := range []struct {
		instances, perSecond int
		slack                float64
	}{{20, 570, 120}, {20, 12, 120}, {20, 100, 120}, {130, 1150, 323}, {130, 137, 323}, {109, 2100, 283}, {300, 100, 500}} {
		t.Run(fmt.Sprint(c.instances, " at ", c.perSecond), func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			var budgets []*Budget
			for range c.instances {
				b := NewBudget(BudgetConfig{Ratio: 0.2, Slack: c.slack, Window: window})
				b.SetInstances(c.instances)
				budgets = append(budgets, b)
			}
			var retries []time.Time
			step := time.Second / time.Duration(c.perSecond)
			for i := range 90 * c.perSecond {
				now = now.Add(step)
				b := budgets[i%c.instances]
				b.Deposit("s", now)
				for i > 60*c.perSecond && b.Withdraw("s", now) {
					retries = append(retries, now)
				}
			}
			allowed := 0.2*float64(c.perSecond)*window.Seconds() + c.slack
			from := 0
			for i, at := range retries {
				for at.Sub(retries[from]) > window {
					from++
				}
				if n := float64(i - from + 1); n > allowed {
					t.Fatalf("%.0f retries in 10 s, want at most %.0f", n, allowed)
				}
			}
			if len(retries) < 5*c.perSecond/2 {
				t.Errorf("only %d retries in 30 s", len(retries))
			}
		})
	}
}

// Guards against a critical request that an endpoint refuses and that is not
// retried, because hedges and less urgent requests have used the budget.
func TestReserveIsLeftToCriticalRetries(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := NewBudget(BudgetConfig{Ratio: 0.1, Slack: 40, Window: 10 * time.Second, Reserve: 1})
	b.SetInstances(20)
	spare := 0
	for b.WithdrawSpare("s", now) {
		spare++
	}
	if spare != 1 || !b.Withdraw("s", now) || b.Withdraw("s", now) {
		t.Errorf("%d spare tokens, want 1 and one more in reserve", spare)
	}
}

// Guards against deviations from the weights by more than one request per
// instance.
func TestSplitKeepsWeights(t *testing.T) {
	r := &desired.Route{Name: "r", TrafficSplit: []desired.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[model.Service]int{}
	for seed := range uint64(20) {
		s := newSplitter(rand.New(rand.NewPCG(seed, 1)))
		for range 15 {
			counts[s.choose(r)]++
		}
	}
	if share := float64(counts["a"]) / 300; math.Abs(share-0.9) > 0.03 || counts["c"] > 0 {
		t.Fatalf("counts %v of weights 90, 10, 0", counts)
	}
}

// Callers that retry after a refusal have less time left than on their first
// call. The time that they have spent must be derived from the difference.
func TestTimeSpentByRetryingCallers(t *testing.T) {
	p := newCallerTimeouts()
	now := time.Now()
	for i := range 50 {
		wait := time.Duration(1000+4*i) * time.Millisecond
		if spent := p.spent("r", wait, now); spent != 0 {
			t.Fatalf("a first call with a timeout of %s counts as a retry", wait)
		}
	}
	if spent := p.spent("r", 700*time.Millisecond, now); spent < 300*time.Millisecond || spent > 500*time.Millisecond {
		t.Fatalf("a caller with 700 ms left has spent %s", spent)
	}
}

// Guards against changes to the semantics of read deadlines that net/http
// relies on.
func TestReadAheadDeadlines(t *testing.T) {
	ours, theirs := net.Pipe()
	c := newReadAheadConn(ours)
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	buf := make([]byte, 10)
	if _, err := c.Read(buf); err == nil {
		t.Fatal("no error at the deadline")
	}
	_ = c.SetReadDeadline(time.Time{})
	go func() { _, _ = theirs.Write([]byte("abc")); _ = theirs.Close() }()
	n, err := c.Read(buf)
	if err != nil || string(buf[:n]) != "abc" {
		t.Fatalf("read %q, %v", buf[:n], err)
	}
	if _, err := c.Read(buf); err == nil {
		t.Fatal("no error after the end")
	}
}
