package serve

import (
	"time"

	"jujubestile.example/jujubestile/internal/events"
)

// paceLinesPerSecond limits the rate of log lines on slow starts: all endpoints may
// start at the same time.
const paceLinesPerSecond = 5

// logPaceChanges logs the endpoints whose slow starts have begun or ended.
func (in *Instance) logPaceChanges(now time.Time) {
	for _, c := range in.table.TakePaceChanges() {
		ok, suppressed := in.paceLines.Allow(now)
		if !ok {
			continue
		}
		l := in.log.Log(events.EndpointPaceChanged).Str("endpoint", string(c.Endpoint)).Str("service", string(c.Service)).
			Str("phase", c.Phase).Str("reason", c.Reason)
		if suppressed > 0 {
			l = l.Int("suppressed", suppressed)
		}
		l.Send()
	}
}
