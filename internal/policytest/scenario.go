package policytest

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// The load starts at time 0. Measurement starts after warmUp.
const (
	second      = time.Second
	warmUp      = 3 * second
	measureTime = 5 * second
	endOfLoad   = warmUp + measureTime
)

// steadyLoad returns a load of 70 % of capacity.
func steadyLoad() []offeredLoad {
	return []offeredLoad{
		{model.PriorityCritical, 0.2, 0, endOfLoad, 0},
		{model.PriorityNormal, 0.3, 0, endOfLoad, 0},
		{model.PriorityBulk, 0.2, 0, endOfLoad, 0},
	}
}

func newScenario(name string) scenario {
	return scenario{
		name: name, loads: steadyLoad(), from: warmUp, to: endOfLoad,
		minimum: map[model.Priority]float64{model.PriorityBulk: 0.05, model.PriorityNormal: 0.05},
	}
}
