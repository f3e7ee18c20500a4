package main

import (
	"context"
	"flag"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"
)

// tenantState is what the metrics of an instance on the users' platform say of one
// tenant.
type tenantState struct {
	Rate           float64 `json:"rate_per_s"`
	Burst          float64 `json:"burst"`
	Received       int64   `json:"received"`
	Sent           int64   `json:"sent"`
	OverQuota      int64   `json:"over_quota"`
	NoOwner        int64   `json:"no_owner"`
	TooManyWaiting int64   `json:"too_many_waiting"`
	Local          int64   `json:"local"`
	Extra          int64   `json:"extra"`
	Held           int     `json:"held"`
}

func tenantsCommand(a *app) *simpleCommand {
	const usage = "tenants METRICS-ADDRESS"
	return &simpleCommand{command{"tenants", "Show the quotas of tenants and what one instance on the users' platform has sent and refused of each since its start", usage}, a, func(ctx context.Context, f *flag.FlagSet) error {
		args, err := arguments(f, 1, 1, usage)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
		defer cancel()
		var metrics struct {
			Tenants map[string]tenantState `json:"tenants"`
		}
		if err := getJSON(ctx, "http://"+args[0]+"/debug/vars", &metrics); err != nil {
			return errors.Annotatef(err, "no metrics from %s", args[0])
		}
		a.show(metrics.Tenants, func(w io.Writer) { tenantsTable(w, metrics.Tenants) })
		return nil
	}}
}

func tenantsTable(w io.Writer, tenants map[string]tenantState) {
	writeRow(w, "TENANT", "RATE/S", "BURST", "RECEIVED", "SENT", "OVER QUOTA", "NO OWNER", "TOO MANY WAITING", "LOCAL", "EXTRA", "HELD")
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		t := tenants[name]
		writeRow(w, name, t.Rate, t.Burst, t.Received, t.Sent, t.OverQuota, t.NoOwner, t.TooManyWaiting, t.Local, t.Extra, t.Held)
	}
}
