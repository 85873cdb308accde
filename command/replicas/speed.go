package replicas

import (
	"time"

	"github.com/martenport/martenport/command/balance"
)

// Engines differ in speed. A model for which many requests come is better on a fast engine, and one that few requests
// ask for on a slow one; a copy on a slow engine is worth less. Both only decide between places that are otherwise as
// good: they change the costs by which options are compared. Where no speed is known to differ, all costs are as
// without this file.

// usualRun is the time of a request on an engine of usual speed, as far as speed matters for it: a short generation.
const usualRun = 500 * time.Millisecond

// SetSpeeds sets the engines' speeds that are known to differ from the usual one. Speeds of earlier processes are
// ignored.
func (f *Fleet) SetSpeeds(speeds []balance.EngineSpeed) {
	clear(f.speeds)
	for _, s := range speeds {
		if e := f.engines[s.Engine]; e != nil && s.Speed > 0 && e.Server.MayBeSameProcess(s.Born) {
			f.speeds[s.Engine] = s.Speed
		}
	}
}

// speedOf returns the speed of an engine that is known to be slow, 1 of all others. It is also what a copy on the engine
// is worth. Fast engines count as usual: if their copies were worth more, loads on them would have to be worth more too.
func (f *Fleet) speedOf(e *Engine) float64 {
	if speed, differs := f.speeds[e.Server.ID]; differs {
		return min(1, speed)
	}
	return 1
}

// slownessCost returns the cost of a model's copy on an engine compared to one on an engine of usual speed: by how much
// longer its requests within the horizon take there.
func (f *Fleet) slownessCost(e *Engine, model string) float64 {
	longer := (1/f.speedOf(e) - 1) * usualRun.Seconds()
	return longer * f.demandOf(model).Weight * f.params.Horizon.Seconds()
}
