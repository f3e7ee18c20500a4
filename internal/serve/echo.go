package serve

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/roundtrip"
)

// lateMessages is the delay of messages from which it is logged.
const lateMessages = 500 * time.Millisecond

// sendEcho asks another instance for an echo if one is due, and logs whether messages
// arrive late. While answers are missing, which may be lost on a full link, echoes are
// more frequent.
func (in *Instance) sendEcho(hb *heartbeatState, now time.Time) {
	delay := in.messageDelay(now)
	if now.Sub(hb.lastEcho) < roundtrip.Interval && delay < roundtrip.Interval {
		return
	}
	hb.lastEcho = now
	if to, ok := in.members.EchoTarget(); ok {
		in.sendOneEcho(to.Peer, fleet.Echo{Number: in.roundTrips.Begin(now)})
	}
	if late := delay >= lateMessages; late != hb.messagesDelayed {
		hb.messagesDelayed = late
		phase := "ends"
		if late {
			phase = "begins"
		}
		in.log.Log(events.MessagesDelayed).Str("phase", phase).Dur("delay_ms", delay).Send()
	}
}

// handleEcho returns the echo of another instance, or takes the return of one of this
// instance.
func (in *Instance) handleEcho(m fleet.Message) {
	in.members.HeardEcho(m.From)
	if m.Echo.Answer {
		in.roundTrips.End(m.Echo.Number, time.Now())
		return
	}
	in.sendOneEcho(m.From, fleet.Echo{Number: m.Echo.Number, Answer: true})
}

func (in *Instance) sendOneEcho(to netip.AddrPort, e fleet.Echo) {
	message, err := fleet.EncodeEcho(e)
	in.send([]fleet.Presence{{Peer: to}}, [][]byte{message}, err)
}

const (
	// missingEchoes is the delay from which messages of other instances may be lost
	// rather than late, so that they are asked by calls.
	missingEchoes = 2 * roundtrip.Interval
	// aloneAfter is how long nothing may have come from any other instance until all
	// count as gone. Requests are refused before, so it is not that they fill the link.
	aloneAfter = 10 * time.Second
)

// pollOthers asks some of the other instances for changes although no message says that
// they have any: on a full link messages are lost, and calls get through.
func (in *Instance) pollOthers(ctx context.Context) {
	in.fetchFromAny(ctx, in.members.Sample(maxSources), in.fetchChanges)
}

// callEnded takes the end of a call of another instance for a round trip. A machine that
// refuses the connection answers too, although the process has ended.
func (in *Instance) callEnded(began time.Time, err error) {
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		in.roundTrips.Observe(began, time.Now())
	}
}

// messageDelay returns how long messages that arrive now may have waited on the links.
// It is 0 if no other instance is known to answer echoes, or if all are gone.
func (in *Instance) messageDelay(now time.Time) time.Duration {
	if !in.members.Echoes() {
		return 0
	}
	if d := in.roundTrips.Delay(now); d < aloneAfter || in.members.SilentFor(now) < aloneAfter {
		return d
	}
	return 0
}
