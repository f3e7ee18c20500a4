package daemon

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// handOverTimeout is the timeout for transferring the key records to a
	// successor.
	handOverTimeout = 3 * time.Second
	// leaveTimeout is the timeout for relinquishing the slots and leaving the
	// membership.
	leaveTimeout = 2 * time.Second
	// lingerTimeout is the timeout for callers to receive what was written, after all
	// other steps of a stop.
	lingerTimeout = 5 * time.Second
)

// stop shuts the instance down gracefully: it announces that the instance is
// leaving, keeps serving until callers have switched to other instances, waits
// for requests in flight, and transfers the state that other instances need.
func (d *Daemon) stop() error {
	d.log.Log(events.Leaving).Send()
	announce := time.Duration(d.settings.Shutdown.Announce)
	d.members.Drain()
	d.entry.Drain(announce)
	time.Sleep(announce)
	unfinished := d.awaitRequests()
	d.handOver()
	d.leave()
	d.log.Log(events.Stopped).Int("cut", unfinished).Int("unreceived", d.closeServers()).Send()
	return nil
}

// awaitRequests waits for requests in flight, at most for the grace period, and
// returns how many are still unfinished.
func (d *Daemon) awaitRequests() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Shutdown.Grace))
	defer cancel()
	_ = d.entry.Wait(ctx)
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
	}
	return d.entry.InFlight()
}

// handOver transfers the key records to a successor, so that callers that
// repeat a request get its recorded outcome.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.engine.Wait(ctx)
	_ = d.ledger.Flush(ctx)
	id, inc, ok := d.nearestPeer(nil, true)
	if !ok {
		return
	}
	if err := d.ledger.HandOver(ctx, id, inc); err != nil {
		d.log.Log(events.KeyRecordsNotHandedOver).Str("successor", string(id)).Err(err).Send()
		return
	}
	d.members.SetSuccessor(id)
}

// leave relinquishes the slots and leaves the membership.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.capacityDriver.Leave(ctx); err != nil {
		d.log.Log(events.SlotsNotRelinquished).Err(err).Send()
	}
	d.members.Leave(ctx)
}

// closeServers closes the listeners for callers and operators, and their connections. It
// waits until what was written has been received, and returns the number of connections
// where it has not been.
func (d *Daemon) closeServers() int {
	for _, s := range d.servers {
		_ = s.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), lingerTimeout)
	defer cancel()
	unreceived := 0
	for _, l := range d.listeners {
		_ = l.AwaitReceived(ctx)
		unreceived += l.Owing()
	}
	return unreceived
}

// close closes all listeners and connections.
func (d *Daemon) close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.rpc.Close()
	d.pool.Close()
	d.client.Sweep()
	d.store.Close()
	d.source.Close()
}

// Drain removes the instance from lookups. It still serves the requests that
// arrive.
func (d *Daemon) Drain() {
	if d.drained.Swap(true) {
		return
	}
	d.log.Log(events.Leaving).Str("reason", "drain").Send()
	d.members.Drain()
}

// Undrain ends a drain.
func (d *Daemon) Undrain() {
	if !d.drained.Swap(false) {
		return
	}
	d.log.Log(events.Undrained).Send()
	d.members.Undrain()
}

// ID returns the ID of the instance.
func (d *Daemon) ID() model.InstanceID {
	return d.settings.Instance
}
