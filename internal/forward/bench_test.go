package forward_test

import (
	"context"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
)

// BenchmarkCapacityDo measures the execution of a request without I/O, with
// admission control and a quarantine.
func BenchmarkCapacityDo(b *testing.B) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not": false} {
		b.Run(name, func(b *testing.B) {
			g := newAdmittedEngine(4, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result { return ok("") })
			b.ReportAllocs()
			for b.Loop() {
				g.Do(b.Context(), testRequest(repeatable, time.Second))
			}
		})
	}
}
