package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/events"
)

// exposuresShown is the number of departures that the command lists.
const exposuresShown = 10

// exposure is a departure of an endpoint as an instance has logged it.
type exposure struct {
	Instance string `json:"instance"`
	Endpoint string `json:"endpoint"`
	Change   string `json:"change"`
	At       string `json:"at"`
	// Exposure is how long after the store's acknowledgement a request was sent at most,
	// and Unconfirmed how long the departure was unknown at most, in milliseconds.
	Exposure    float64 `json:"exposure_ms"`
	Unconfirmed float64 `json:"unconfirmed_ms"`
}

// departures is the command with its flag.
type departures struct {
	simpleCommand
	bound time.Duration
}

func (d *departures) SetFlags(f *flag.FlagSet) {
	d.simpleCommand.SetFlags(f)
	f.DurationVar(&d.bound, "bound", 0, "fail if a request may have been sent later than this")
}

func departuresCommand(a *app) *departures {
	const usage = "departures [-bound D] [FILE...]"
	c := command{"departures", "Show how late instances may have sent requests to endpoints that were leaving, from their logs (files or standard input)", usage}
	d := &departures{simpleCommand: simpleCommand{command: c, app: a}}
	d.execute = func(_ context.Context, f *flag.FlagSet) error {
		lines, err := a.logLines(f.Args(), fmt.Sprintf(`"event":%d,`, events.EndpointChanged.Number), isDeparture)
		if err != nil {
			return err
		}
		all := exposures(lines)
		if len(all) == 0 {
			return errors.New("no departure of an endpoint in the logs (event 831 with exposure_ms)")
		}
		a.show(all, func(w io.Writer) { exposureTable(w, all) })
		if longest := time.Duration(all[0].Exposure * float64(time.Millisecond)); d.bound > 0 && longest > d.bound {
			return errors.Errorf("a request may have been sent %v after an endpoint left, bound %v", longest, d.bound)
		}
		return nil
	}
	return d
}

func isDeparture(line map[string]any) bool { _, ok := line["exposure_ms"].(float64); return ok }

// exposures returns the departures, the longest exposure first.
func exposures(lines []map[string]any) []exposure {
	var out []exposure
	for _, m := range lines {
		e := exposure{Instance: fmt.Sprint(m["instance"]), Endpoint: fmt.Sprint(m["endpoint"]), Change: fmt.Sprint(m["change"]), At: fmt.Sprint(m["time"])}
		e.Exposure, _ = m["exposure_ms"].(float64)
		e.Unconfirmed, _ = m["unconfirmed_ms"].(float64)
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b exposure) int {
		return cmp.Or(cmp.Compare(b.Exposure, a.Exposure), cmp.Compare(b.Unconfirmed, a.Unconfirmed))
	})
	return out
}

func exposureTable(w io.Writer, all []exposure) {
	fmt.Fprintf(w, "%d departures, %d with a request after the copy was last known to be complete\n", len(all),
		len(slices.DeleteFunc(slices.Clone(all), func(e exposure) bool { return e.Exposure == 0 })))
	for _, e := range all[:min(len(all), exposuresShown)] {
		fmt.Fprintf(w, "%s  %s  %s %s: sent up to %.0f ms late, unknown for up to %.0f ms\n", e.At, e.Instance, e.Endpoint, e.Change, e.Exposure, e.Unconfirmed)
	}
}
