package serve

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// fillIn fills in the template as the platform does: a section whose value is missing is
// left out, and so is the value of a placeholder.
func fillIn(template string, values map[string]string) string {
	section := regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v := values[m[1]]; v == "" || v == "false" {
			return ""
		}
		return m[2]
	})
	placeholder := regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		return values[placeholder.FindStringSubmatch(s)[1]]
	})
}

// Guards against a template that is no valid settings file, also on platforms that have
// no value for the settings of revocation, and against settings that get lost.
func TestSettingsTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{"node": `"i1"`, "region": `"a"`, "zone": `"a1"`, "zones": `{"a1":"a"}`, "ip": "10.0.0.1", "internalPortRange.0": "7000",
		"listenAddrs.frontend": `"10.0.0.1:80"`, "listenAddrs.ready": `"10.0.0.1:81"`, "listenAddrs.directory": `"10.0.0.1:82"`, "provider.address": `"10.0.0.2:90"`, "heartbeat": `"1500ms"`,
		"bounds.grace": `"10000ms"`, "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "120", "bounds.budgetWindow": `"10000ms"`, "bounds.maxShift": "0.15",
		"seedNodes": "[]", "limits.memoryMb": "206", "limits.maxFds": "2870", "limits.cpuShare": "0.5", "limits.bandwidthMbps": "10"}
	for _, strict := range []string{"", "false", "true"} {
		revoke := time.Duration(0)
		if values["bounds.strictRevoke"] = strict; strict != "" {
			values["bounds.revoke"], revoke = `"5000ms"`, 5*time.Second
		}
		s, ignored, err := Parse([]byte(fillIn(string(template), values)))
		if err != nil || len(ignored) > 0 || s.Store.Heartbeat != Duration(1500*time.Millisecond) || s.Bounds.StrictRevoke != (strict == "true") || s.Bounds.Revoke != Duration(revoke) {
			t.Errorf("strictRevoke %q: %+v, ignored %v, error %v", strict, s.Bounds, ignored, err)
		}
	}
	delete(values, "heartbeat")
	if s, _, err := Parse([]byte(fillIn(string(template), values))); err != nil || s.Store.Heartbeat != 0 {
		t.Errorf("without a heartbeat: %s, error %v", time.Duration(s.Store.Heartbeat), err)
	}
	delete(values, "bounds.revoke")
	if _, _, err := Parse([]byte(fillIn(string(template), values))); err == nil || !strings.Contains(fmt.Sprint(err), "bounds.revoke") {
		t.Errorf("strict revocation without a time is accepted: %v", err)
	}
}
