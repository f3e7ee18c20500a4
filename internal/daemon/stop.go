package daemon

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// handOverTimeout bounds handing the key records to a successor.
	handOverTimeout = 3 * time.Second
	// leaveTimeout bounds giving up the slots and announcing the end.
	leaveTimeout = 2 * time.Second
)

// stop is the planned stop: it announces that the instance leaves, serves
// until callers have moved on, waits for requests in flight, and hands over
// what other instances need.
func (d *Daemon) stop() error {
	d.log.Log(events.Leaving).Send()
	announce := time.Duration(d.settings.Shutdown.Announce)
	d.members.Drain()
	d.entry.Drain(announce)
	time.Sleep(announce)
	cut := d.awaitRequests()
	d.handOver()
	d.leave()
	d.log.Log(events.Stopped).Int("cut", cut).Send()
	return nil
}

// awaitRequests waits for requests in flight and returns how many are left.
func (d *Daemon) awaitRequests() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Shutdown.Grace))
	defer cancel()
	_ = d.entry.Wait(ctx)
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
	}
	return d.entry.InFlight()
}

// handOver gives the key records to a successor, so that callers who repeat a
// request get its recorded outcome.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	d.engine.Wait(ctx)
	_ = d.ledger.Flush(ctx)
	id, inc, ok := d.nearest(nil, true)
	if !ok {
		return
	}
	if err := d.ledger.HandOver(ctx, id, inc); err != nil {
		d.log.Log(events.KeyRecordsNotHandedOver).Str("successor", string(id)).Err(err).Send()
		return
	}
	d.members.SetSuccessor(id)
}

func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.capacityDriver.Leave(ctx); err != nil {
		d.log.Log(events.SlotsNotRelinquished).Err(err).Send()
	}
	d.members.Leave(ctx)
}

// close ends all connections.
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

// Drain takes the instance out of lookups. It goes on serving callers that
// still come.
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

// ID returns the name of the instance.
func (d *Daemon) ID() model.InstanceID {
	return d.settings.Instance
}
