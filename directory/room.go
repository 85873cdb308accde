package directory

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// Room is the holder's decision which share of the requests to admit, by model and class, in contended services.
type Room struct {
	// Known: the holder decides by class. Otherwise the shares of ApplyAdmissions hold.
	Known bool
	// Shares has all classes of the models of which not all requests are admitted.
	Shares []ClassShare
}

// ClassShare is the share of the requests for a model to admit that belong to one class.
type ClassShare struct {
	Model string
	Class serving.TrafficClass
	Share float64
}

// ApplyRoom replaces the shares to admit by class.
func (d *Directory) ApplyRoom(r Room) {
	byModel := map[string][]ClassShare{}
	for _, s := range r.Shares {
		byModel[s.Model] = append(byModel[s.Model], s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roomKnown, d.classShares = r.Known, byModel
}

// AdmitClass returns the share of a model's requests of one class to admit: 1 if there was no update of the holder
// within viewTTL. known is false if the holder does not decide by class.
func (d *Directory) AdmitClass(model string, class serving.TrafficClass, now time.Time) (share float64, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !d.roomKnown {
		return 1, false
	}
	share = 1
	if now.Sub(d.lastUpdate) >= viewTTL {
		return share, true
	}
	class = class.Bounded()
	for _, s := range d.classShares[model] {
		switch s.Class {
		case class:
			return s.Share, true
		case serving.OtherClass:
			share = s.Share
		}
	}
	return share, true
}
