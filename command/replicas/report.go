package replicas

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// ClassRoom is the room of one class in a service, in concurrent requests.
type ClassRoom struct {
	Service string
	Class   serving.TrafficClass
	// Requested is what the class asks for, each send of a client counted, and Offered the same with each request
	// counted once.
	Requested, Offered float64
	// Served is what it gets. Guaranteed is what is kept for it, and Lent the part of that which it does not use.
	Served, Guaranteed, Lent float64
	// Share is the share of its requests that are admitted.
	Share float64
}

// ClassRooms returns the room of all classes as of the last call of Room, ordered by service and class. There are at
// most maxClasses for each service.
func (f *Fleet) ClassRooms() []ClassRoom {
	var list []ClassRoom
	for service, s := range f.room.services {
		for class, c := range s.classes {
			r := ClassRoom{Service: service, Class: class, Requested: c.requested, Offered: c.offered, Served: c.served, Share: 1}
			if c.usual.known() {
				r.Guaranteed = c.usual.requests
				r.Lent = max(0, r.Guaranteed-r.Served)
			}
			if c.requested > 0 {
				r.Share = min(1, max(0, c.admitted/c.requested))
			}
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b ClassRoom) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), compareClasses(a.Class, b.Class))
	})
	return list
}

// The shares below which a class becomes short of room, and above which it no longer is, and for how long that must be
// so. Single engines are busy by chance now and then.
const (
	shortShare, enoughShare = 0.9, 0.97
	shortFor                = time.Second
)

// ShortageChange states that a class became short of room, or no longer is.
type ShortageChange struct {
	ClassRoom
	Short bool
}

// ShortageChanges returns the classes that became or ceased to be short of room since the last call. A class is returned
// at most once in shortFor.
func (f *Fleet) ShortageChanges(now time.Time) []ShortageChange {
	var changes []ShortageChange
	for _, r := range f.ClassRooms() {
		c := f.room.services[r.Service].classes[r.Class]
		differs := !c.short && r.Share < shortShare || c.short && r.Share > enoughShare
		if !differs || c.differsSince.IsZero() {
			c.differsSince = time.Time{}
			if differs {
				c.differsSince = now
			}
			continue
		}
		if now.Sub(c.differsSince) >= shortFor {
			c.short, c.differsSince = !c.short, time.Time{}
			changes = append(changes, ShortageChange{r, c.short})
		}
	}
	return changes
}

// CopyShortage describes the models of contended services that have fewer copies than their demand needs.
type CopyShortage struct {
	Models int
	// Model is the one that lacks most, with its copies and those it needs.
	Model          string
	Copies, Wanted int
	// Offered is the number of its requests that would run concurrently if none were refused, Running those that run.
	Offered, Running float64
}

// CopyShortages returns which models have fewer copies than their demand needs.
func (f *Fleet) CopyShortages(now time.Time) CopyShortage {
	short := f.ShortModels(now)
	if len(short) == 0 {
		return CopyShortage{}
	}
	m := short[0]
	return CopyShortage{
		Models: len(short), Model: m.Model, Copies: m.Copies, Wanted: m.Wanted,
		Offered: math.Round(m.Offered), Running: math.Round(m.Running),
	}
}

// ShortModel is a model that has fewer copies than its demand needs; see CopyShortage.
type ShortModel struct {
	Model            string
	Copies, Wanted   int
	Offered, Running float64
}

// ShortModels returns the models of contended services that have fewer copies than their demand needs, those that lack
// most first.
func (f *Fleet) ShortModels(now time.Time) []ShortModel {
	var short []ShortModel
	for model, d := range f.demand {
		if d.Refused <= 0 {
			continue
		}
		copies, wanted := f.copiesOf(model, now), f.wantedCopies(model)
		if copies < wanted {
			short = append(short, ShortModel{Model: model, Copies: copies, Wanted: wanted, Offered: f.offered(d), Running: d.Running})
		}
	}
	slices.SortFunc(short, func(a, b ShortModel) int {
		return cmp.Or(cmp.Compare(b.Wanted-b.Copies, a.Wanted-a.Copies), cmp.Compare(a.Model, b.Model))
	})
	return short
}
