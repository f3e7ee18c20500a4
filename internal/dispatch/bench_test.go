package dispatch_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/balance"
	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/retry"
)

// maxOverhead is the bound on what Do adds to a request.
const maxOverhead = 50 * time.Microsecond

type noRouter struct{}

func (noRouter) Take(time.Time, dispatch.Need) (dispatch.Slot, error) { return noSlot{}, nil }
func (noRouter) Slots(time.Time, model.Service) int                   { return 1000 }
func (noRouter) Freed(model.Service) <-chan struct{}                  { return nil }

type noSlot struct{}

func (noSlot) Region() model.Region { return "r" }
func (noSlot) Release()             {}
func (noSlot) ReleaseAt(time.Time)  {}

type noTransport struct{ response *dispatch.Response }

func (t noTransport) Send(context.Context, model.Endpoint, *dispatch.Request) (*dispatch.Response, error) {
	return t.response, nil
}

type noClaim struct{}

func (noClaim) Intent(context.Context) error { return nil }

// BenchmarkCapacityDo measures the overhead of the whole decision path.
func BenchmarkCapacityDo(b *testing.B) {
	bal := balance.New(balance.Config{Instance: "i", Rand: rand.New(rand.NewPCG(1, 2))})
	var list []model.Endpoint
	for _, id := range []model.EndpointID{"a", "b", "c", "d"} {
		list = append(list, model.Endpoint{ID: id, Service: "s", Region: "r", Slots: 4})
	}
	bal.SetEndpoints(time.Now(), list)
	d := dispatch.New(dispatch.Config{
		Region: "r", Admission: admission.New(noRouter{}), Balancer: bal,
		Transport: noTransport{&dispatch.Response{Status: 200, Header: http.Header{"Endpoint-Load-Metrics": {"TEXT application_utilization=0.5"}}}},
		Retry:     retry.NewPolicy(rand.New(rand.NewPCG(1, 2))),
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	for name, r := range map[string]*dispatch.Request{
		"repeatable":    {Service: "s", Priority: 2, Repeatable: true},
		"nonrepeatable": {Service: "s", Priority: 1},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Do(ctx, r, noClaim{})
			}
			if perOp := b.Elapsed() / time.Duration(b.N); perOp > maxOverhead {
				b.Errorf("%v a request, want at most %v", perOp, maxOverhead)
			}
		})
	}
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			r := &dispatch.Request{Service: "s", Priority: 2, Repeatable: true}
			for pb.Next() {
				d.Do(ctx, r, noClaim{})
			}
		})
	})
}
