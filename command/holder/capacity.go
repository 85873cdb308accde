package holder

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/command/balance"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/command/waitlist"
)

// MaxCapacityRows bounds each list of a Capacity.
const MaxCapacityRows = 100

// Capacity describes to operators who has which part of the engines, and what is lacking. Each list has at most
// MaxCapacityRows.
type Capacity struct {
	// Classes is the room of traffic classes, of contended services only.
	Classes []replicas.ClassRoom
	// ShortModels are the models with fewer copies than their demand needs, those that lack most first, and
	// ShortModelsTotal is the number of all of them.
	ShortModels      []replicas.ShortModel
	ShortModelsTotal int
	// Waitlist has the refused requests that are to return, the longest queues first, and WaitlistTotal is the number
	// of all queues.
	Waitlist      []waitlist.Status
	WaitlistTotal int
	// LoadsHeld is the number of loads that wait for further requests.
	LoadsHeld int
	// Speeds are the speeds of the engines that differ from the usual speed, the most different ones first, and
	// SpeedsTotal is the number of all of them.
	Speeds      []balance.EngineSpeed
	SpeedsTotal int
}

// Capacity describes the engines' capacity. held is false at instances that do not hold the lease.
func (h *Holder) Capacity(now time.Time) (c Capacity, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return Capacity{}, false
	}
	queues := h.refused.list.Status(now)
	slices.SortStableFunc(queues, func(a, b waitlist.Status) int { return cmp.Compare(b.Listed, a.Listed) })
	models, speeds := h.fleet.ShortModels(now), h.speeds.Speeds(now)
	return Capacity{
		Classes:     firstRows(h.fleet.ClassRooms()),
		ShortModels: firstRows(models), ShortModelsTotal: len(models),
		Waitlist: firstRows(queues), WaitlistTotal: len(queues),
		LoadsHeld: h.fleet.HeldLoads(now),
		Speeds:    firstRows(speeds), SpeedsTotal: len(speeds),
	}, true
}

func firstRows[T any](list []T) []T { return list[:min(len(list), MaxCapacityRows)] }
