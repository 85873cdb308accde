package replicas

import "time"

// A load may end each engine that takes it. Without a bound it would be ordered on the next
// engine as long as anybody asks for the model, with all that runs there: with a request a
// second for such a model an engine ended each second (20 of 20 loads, its test).

// Engines that ended before a model that they loaded was seen on them.
const (
	// endsToLoadAlone is from when the model is loaded on one engine at a time.
	endsToLoadAlone = 2
	// endsToHold is from when it is not loaded for a while.
	endsToHold = 3
	// leastHold is for how long; it doubles with each further end up to mostHold. Ends have
	// other causes, too, and a model that is held is not served.
	leastHold = 30 * time.Second
	mostHold  = 10 * time.Minute
)

// loadEnds is what is known of one model.
type loadEnds struct {
	// ends counts engines since the model was last seen on one that loaded it.
	ends int
	// until is to when it is not loaded, zero if that has not been worked out.
	until time.Time
}

// LoadEnd says that an engine ended that loaded a model.
type LoadEnd struct {
	Engine, Model string
	// Ends counts the engines one after the other.
	Ends int
}

// ended notes that an engine is gone, or another process has its id. What it had begun to
// load and was not seen on it since counts, unless it was to leave.
func (f *Fleet) ended(e *Engine) {
	if e.Server.Draining {
		return
	}
	for model, c := range e.Copies {
		if !c.unseen {
			continue
		}
		known := f.loadEnds[model]
		f.loadEnds[model] = loadEnds{ends: known.ends + 1}
		f.newEnds = append(f.newEnds, LoadEnd{Engine: e.Server.ID, Model: model, Ends: known.ends + 1})
	}
}

// seen notes that an engine says that it has a model.
func (f *Fleet) seen(e *Engine, model string) {
	if c := e.Copies[model]; c != nil {
		c.unseen = false
	}
	delete(f.loadEnds, model)
}

// NewLoadEnds returns the ends that were noted since it was last called.
func (f *Fleet) NewLoadEnds() []LoadEnd {
	ends := f.newEnds
	f.newEnds = nil
	return ends
}

// mayLoad reports whether a model may be loaded on one more engine.
func (f *Fleet) mayLoad(model string, now time.Time) bool {
	known := f.loadEnds[model]
	if known.ends < endsToLoadAlone {
		return true
	}
	if known.ends >= endsToHold && known.until.IsZero() {
		known.until = now.Add(min(mostHold, leastHold<<min(known.ends-endsToHold, 8)))
		f.loadEnds[model] = known
	}
	return !now.Before(known.until) && len(f.holding(model)) == 0
}
