package directory

import (
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Room is the holder's decision which share of the requests to admit by class, in contended services.
type Room struct {
	// Known: the holder decides by class. Otherwise the shares of ApplyAdmissions hold.
	Known bool
	// Classes are the classes to which the shares belong.
	Classes []serving.TrafficClass
	// Engines are the engines on which not all requests can be admitted.
	Engines []EngineRoom
}

// EngineRoom is the share of the requests to admit on one engine.
type EngineRoom struct {
	Engine string
	// Percent is the share by class, in the order of Room.Classes. Classes that are left out are admitted.
	Percent []byte
}

// classShare is the share of a model's requests of one class to admit.
type classShare struct {
	class serving.TrafficClass
	share float64
}

// ApplyRoom replaces the shares to admit by class. The share of a model is the mean over the engines that have it.
func (d *Directory) ApplyRoom(r Room) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roomKnown, d.roomClasses = r.Known, r.Classes
	d.classShares = nil
	if len(r.Engines) == 0 {
		return
	}
	engines := map[string][]string{}
	for id := range d.servers {
		for _, model := range d.modelsOn(id) {
			engines[model] = append(engines[model], id)
		}
	}
	short := make(map[string][]byte, len(r.Engines))
	for _, e := range r.Engines {
		short[e.Engine] = e.Percent
	}
	d.classShares = map[string][]classShare{}
	for model, ids := range engines {
		if shares := meanShares(r.Classes, ids, short); shares != nil {
			d.classShares[model] = shares
		}
	}
}

// meanShares returns the mean share of each class over the engines, nil if all requests are admitted.
func meanShares(classes []serving.TrafficClass, engines []string, short map[string][]byte) []classShare {
	var shares []classShare
	for i, class := range classes {
		total := 0.0
		for _, id := range engines {
			share := 1.0
			if percent := short[id]; i < len(percent) {
				share = min(1, float64(percent[i])/100)
			}
			total += share
		}
		if mean := total / float64(len(engines)); mean < 1 {
			shares = append(shares, classShare{class, mean})
		}
	}
	return shares
}

// modelsOn returns the models on an engine, according to the holder's view or, without one, the engine's announcement.
// d.mu must be held.
func (d *Directory) modelsOn(id string) []string {
	var models []string
	if view, viewed := d.views[id]; viewed {
		for _, u := range view.Units {
			if u.Unit.Adapter == "" && u.Ready.IsZero() {
				models = append(models, u.Unit.Model)
			}
		}
		return models
	}
	for model := range d.servers[id].Models {
		models = append(models, model)
	}
	return models
}

// AdmitClass returns the share of a model's requests of one class to admit: 1 if there was no update of the holder
// within viewTTL. known is false if the holder does not decide by class.
func (d *Directory) AdmitClass(model string, class serving.TrafficClass, now time.Time) (share float64, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.roomKnown {
		return 1, false
	}
	if now.Sub(d.lastUpdate) >= viewTTL {
		return 1, true
	}
	if class = class.Bounded(); !slices.Contains(d.roomClasses, class) {
		class = serving.OtherClass
	}
	for _, s := range d.classShares[model] {
		if s.class == class {
			return s.share, true
		}
	}
	return 1, true
}
