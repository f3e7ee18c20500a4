package forward

import (
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/steering"
)

// reports reports whether a response is of the endpoint that the request was sent to.
func reports(to steering.Endpoint, f exchange.ResponseFields) bool {
	return !f.Misdirected && (f.Endpoint == "" || f.Endpoint == string(to.ID))
}

// reportedLoad returns the load that the endpoint reported. It is scaled if
// the report is based on another number of slots than the endpoint's entry.
func reportedLoad(p *steering.Pick, l exchange.Load) int {
	n := l.Running + l.Waiting
	if l.Slots > 0 && l.Slots != p.Slots {
		return (n*p.Slots + l.Slots/2) / l.Slots // Rounded to the nearest.
	}
	return n
}
