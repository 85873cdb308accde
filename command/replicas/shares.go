package replicas

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// room is the state of the room of all contended services.
type room struct {
	services   map[string]*serviceRoom
	computedAt time.Time
}

// serviceRoom is the state of the room of one service.
type serviceRoom struct {
	classes map[serving.TrafficClass]*classState
	// scarceUntil is until when the traffic counts as unusual after a shortage.
	scarceUntil time.Time
}

// classState is the state of one class in a service. All sizes are concurrent requests.
type classState struct {
	usual usualRoom
	// requested counts every send of a client, offered each request once, and served the answered ones.
	requested, offered, served float64
	// admitted is the part of requested that is admitted.
	admitted float64
	seen     time.Time
	// short: operators have been told that the class is short of room. shareChangedAt is when its state last differed
	// from that.
	short          bool
	shareChangedAt time.Time
}

// admitClass returns the class under which traffic of a class is recorded, which bounds their number.
func (r *room) admitClass(service string, class serving.TrafficClass, now time.Time) serving.TrafficClass {
	if r.services == nil {
		r.services = map[string]*serviceRoom{}
	}
	s := r.services[service]
	if s == nil {
		s = &serviceRoom{classes: map[serving.TrafficClass]*classState{}}
		r.services[service] = s
	}
	if s.classes[class] == nil && len(s.classes) >= maxClasses-1 {
		class = serving.OtherClass
	}
	if s.classes[class] == nil {
		s.classes[class] = &classState{}
	}
	s.classes[class].seen = now
	return class
}

// maxRoomModels bounds the models in Room: those of which most is refused.
const maxRoomModels = 128

// Room returns the share of the requests for each model to admit by class, in contended services. Classes of which all
// requests are admitted are omitted.
//
// The number of requests admitted is that of Admissions, over all classes together. On each engine that a short model
// uses, it is divided between the classes of all its models, so that a class also makes room on the engines that it
// shares with the models of another. A model's share is the mean of its engines.
func (f *Fleet) Room(now time.Time) directory.Room {
	if len(f.room.services) == 0 {
		return directory.Room{}
	}
	f.decay(now)
	short := f.shortModels(now)
	f.observeRoom(short, now)
	shares := map[modelClass]float64{}
	for _, e := range f.enginesOf(short) {
		f.divideEngine(e, short, shares, now)
	}
	f.addAdmitted(shares)
	return directory.Room{Known: true, Shares: f.lowestShares(shares)}
}

// modelClass is a model as asked for by one class.
type modelClass struct {
	model string
	class serving.TrafficClass
}

// shortModels returns the models of contended services of which not all requests can be admitted, with the share of all
// their requests together.
func (f *Fleet) shortModels(now time.Time) map[string]float64 {
	short := map[string]float64{}
	for model, d := range f.demand {
		requested, answered := 0.0, 0.0
		for _, c := range d.classes {
			requested += c.arrived
			answered += c.answered
		}
		if requested < minDeferrableRate {
			continue
		}
		load, known := f.loadOf(model, now)
		if !known || load <= admitAllLoad {
			continue
		}
		if share := admissionShare(load, requested, answered); share < 1 {
			short[model] = share
		}
	}
	return short
}

// observeRoom updates the traffic of all classes and what is usual for them.
func (f *Fleet) observeRoom(short map[string]float64, now time.Time) {
	passed := now.Sub(f.room.computedAt)
	f.room.computedAt = now
	for _, s := range f.room.services {
		maps.DeleteFunc(s.classes, func(_ serving.TrafficClass, c *classState) bool { return now.Sub(c.seen) > classLifetime })
		for _, c := range s.classes {
			c.requested, c.offered, c.served = 0, 0, 0
		}
	}
	for model, d := range f.demand {
		s := f.room.services[d.service]
		if s == nil {
			continue
		}
		if _, isShort := short[model]; isShort {
			// The rates still include the traffic of the shortage for some time after it.
			s.scarceUntil = now.Add(2 * f.params.DemandWindow)
		}
		seconds := f.meanRunTime(d)
		for _, c := range d.classes {
			if state := s.classes[c.class]; state != nil {
				state.requested += c.arrived * seconds
				state.offered += c.distinct * seconds
				state.served += c.answered * seconds
			}
		}
	}
	for _, s := range f.room.services {
		for _, c := range s.classes {
			c.usual.observe(c.offered, now.Before(s.scarceUntil), passed)
		}
	}
}

// enginesOf returns the engines that serve one of the models.
func (f *Fleet) enginesOf(models map[string]float64) []*Engine {
	seen := map[*Engine]bool{}
	for model := range models {
		for _, e := range f.holding(model) {
			seen[e] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), compareEngines)
}

// divideEngine divides the room of an engine between the classes, and lowers the shares of its models accordingly.
func (f *Fleet) divideEngine(e *Engine, short map[string]float64, shares map[modelClass]float64, now time.Time) {
	service := f.room.services[e.Server.Service]
	if service == nil || !servesNow(e, now) {
		return
	}
	total := 0.0
	var claims []claim
	for model, c := range e.Copies {
		d := f.demand[model]
		if c.State != Resident || d == nil {
			continue
		}
		share, isShort := short[model]
		if !isShort {
			share = 1
		}
		seconds := f.meanRunTime(d) / float64(f.servingCopies(model, now))
		for _, class := range d.classes {
			claims = addClaim(claims, class.class, class.arrived*seconds)
			total += share * class.arrived * seconds
		}
	}
	slices.SortFunc(claims, func(a, b claim) int { return compareClasses(a.class, b.class) })
	for i := range claims {
		c := &claims[i]
		c.guaranteed = c.requested
		if state := service.classes[c.class]; state != nil {
			c.guaranteed *= state.usual.guaranteedShare(state.requested)
		}
	}
	admitted := divideRoom(total, claims)
	for model, c := range e.Copies {
		if d := f.demand[model]; c.State == Resident && d != nil {
			for i, claim := range claims {
				f.lowerShare(shares, modelClass{model, claim.class}, max(minAdmittedShare, admitted[i]), now)
			}
		}
	}
}

// addClaim adds requests to the claim of a class.
func addClaim(claims []claim, class serving.TrafficClass, requests float64) []claim {
	for i := range claims {
		if claims[i].class == class {
			claims[i].requested += requests
			return claims
		}
	}
	return append(claims, claim{class: class, requested: requests})
}

// lowerShare lowers the share of a model's requests, which is the mean over its engines, by the share on one engine.
func (f *Fleet) lowerShare(shares map[modelClass]float64, key modelClass, share float64, now time.Time) {
	if !f.demand[key.model].has(key.class) {
		return
	}
	if _, found := shares[key]; !found {
		shares[key] = 1
	}
	shares[key] -= (1 - share) / float64(f.servingCopies(key.model, now))
}

// has reports whether there is traffic of a class.
func (d *Demand) has(class serving.TrafficClass) bool {
	return slices.ContainsFunc(d.classes, func(c classDemand) bool { return c.class == class })
}

// servingCopies returns the number of engines that serve a model now, at least 1.
func (f *Fleet) servingCopies(model string, now time.Time) int {
	n := 0
	for _, e := range f.holding(model) {
		if e.Copies[model].State == Resident && servesNow(e, now) {
			n++
		}
	}
	return max(1, n)
}

// servesNow reports whether the engine gets requests.
func servesNow(e *Engine, now time.Time) bool {
	return !e.Server.Draining && !now.Before(e.FailingUntil)
}

// addAdmitted adds up, for each class, the requests that are admitted with the given shares.
func (f *Fleet) addAdmitted(shares map[modelClass]float64) {
	for _, s := range f.room.services {
		for _, c := range s.classes {
			c.admitted = 0
		}
	}
	for model, d := range f.demand {
		s := f.room.services[d.service]
		if s == nil {
			continue
		}
		seconds := f.meanRunTime(d)
		for _, c := range d.classes {
			share, found := shares[modelClass{model, c.class}]
			if !found {
				share = 1
			}
			if state := s.classes[c.class]; state != nil {
				state.admitted += share * c.arrived * seconds
			}
		}
	}
}

// shareMargin is how far a share must be below 1 to be sent: less makes no difference to callers.
const shareMargin = 0.01

// lowestShares returns the shares of the maxRoomModels models of which most is refused, ordered by model and class.
func (f *Fleet) lowestShares(shares map[modelClass]float64) []directory.ClassShare {
	lowest := map[string]float64{}
	for key, share := range shares {
		if low, found := lowest[key.model]; share < 1-shareMargin && (!found || share < low) {
			lowest[key.model] = share
		}
	}
	models := slices.SortedFunc(maps.Keys(lowest), func(a, b string) int { return cmp.Or(cmp.Compare(lowest[a], lowest[b]), cmp.Compare(a, b)) })
	var list []directory.ClassShare
	for _, model := range models[:min(len(models), maxRoomModels)] {
		for _, c := range f.demand[model].classes {
			if share, found := shares[modelClass{model, c.class}]; found {
				list = append(list, directory.ClassShare{Model: model, Class: c.class, Share: share})
			}
		}
	}
	return list
}

func compareClasses(a, b serving.TrafficClass) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Objective, b.Objective))
}
