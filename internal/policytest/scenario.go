package policytest

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// The load starts at 0; what happens after warm is measured.
const (
	second    = time.Second
	warm      = 3 * second
	measured  = 5 * second
	endOfLoad = warm + measured
)

// mix is the steady load: 70 % of capacity.
func mix() []load {
	return []load{
		{model.PriorityCritical, 0.2, 0, endOfLoad, 0},
		{model.PriorityNormal, 0.3, 0, endOfLoad, 0},
		{model.PriorityBulk, 0.2, 0, endOfLoad, 0},
	}
}

func base(name string) scenario {
	return scenario{
		name: name, loads: mix(), from: warm, to: endOfLoad,
		minimum: map[model.Priority]float64{model.PriorityBulk: 0.05, model.PriorityNormal: 0.05},
	}
}
