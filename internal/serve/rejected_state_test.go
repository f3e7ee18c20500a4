package serve_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"jujubestile.example/jujubestile/platform/standin"
)

// metrics returns the metrics of an instance.
func (c *cluster) metrics(in *instance) map[string]any {
	c.t.Helper()
	resp, err := http.Get("http://" + in.settings.Listen.Metrics.String() + "/debug/vars")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		c.t.Fatal(err)
	}
	return vars
}

// Guards against instances that reject the newest desired state without showing it,
// and against a rejected state that ends the one in force.
func TestRejectedStateIsShownUntilAValidOneIsInForce(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.version++
	c.store.Put("op/config", standin.EncodeDesiredState(c.version, 5, []string{"s"}, []standin.Route{
		{Name: "films", Host: "h.example", Prefix: "/films/", Type: "stream", Service: "s"}}))
	for _, in := range c.instances {
		c.eventually("the instance shows the rejected state", func() bool {
			r, ok := c.metrics(in)["rejected_state"].(map[string]any)
			return ok && r["name"] == "films" && r["field"] == "type" && r["since"] != ""
		})
	}
	for _, in := range c.instances {
		if _, code, _ := c.send(in, "GET", "/safe/x"); code != 200 {
			t.Errorf("status %d on a route of the state in force", code)
		}
	}
	c.writeState("s", "/new/")
	for _, in := range c.instances {
		c.eventually("the valid state is in force", func() bool { _, code, _ := c.send(in, "GET", "/new/x"); return code == 200 })
		if r := c.metrics(in)["rejected_state"]; r != nil {
			t.Errorf("rejected state %v is shown beside a valid one", r)
		}
	}
}
