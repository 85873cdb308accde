package replicas

import "time"

// Prefer records that the requests that wait for a model of a service can be served on one engine only, as that engine
// keeps the memory of their runs. The model is loaded there, if that is as possible as elsewhere, while requests wait.
func (f *Fleet) Prefer(service, model, engine string, waiting Waiting, now time.Time) {
	f.SetWaiting(service, model, waiting, now)
	if w := f.wantedModels[model]; w != nil {
		w.preferred = engine
	}
}

// preferredPlacement returns the option to load a wanted model on its preferred engine, and false if there is none or
// that engine would load the weights from the weight store.
func (f *Fleet) preferredPlacement(w *wantedModel, reserved map[string]time.Duration, now time.Time) (placementOption, bool) {
	e := f.engines[w.preferred]
	if e == nil || w.proactive {
		return placementOption{}, false
	}
	return f.bestPlacementAmong([]*Engine{e}, w, reserved, remoteState{}, now)
}

// maxLoadable bounds the engines that Loadable returns.
const maxLoadable = 4

// Loadable returns engines of a service that could load a model from their memory or disk, those that are not busy
// first.
func (f *Fleet) Loadable(service, model string, now time.Time) []string {
	var free, busy []string
	for _, e := range f.caching(model) {
		switch {
		case e.Server.Service != service || !e.usable(now) || e.Copies[model] != nil:
		case e.freeAt(now).After(now):
			busy = append(busy, e.Server.ID)
		default:
			free = append(free, e.Server.ID)
		}
	}
	found := append(free, busy...)
	return found[:min(len(found), maxLoadable)]
}
