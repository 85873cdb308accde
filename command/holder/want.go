package holder

import (
	"time"

	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/serving"
)

// This file implements what instances ask of the holder about single requests.

// Request asks for a unit to be loaded.
type Request struct {
	Service string
	Unit    serving.Unit
	// Version is the software version that the engine must have; "" for any.
	Version string
	// Waiting describes the requests for the model that wait at the asking instance.
	Waiting replicas.Waiting
	// Missing names an engine that reported that it does not have the unit. Unreachable names an engine that could
	// not be connected to.
	Missing, Unreachable string
	// HeldBack are engines that have the unit but to which the asking instance may not send requests for now, because
	// they limit their requests or have asked for a pause.
	HeldBack []string
}

// minRetryDelay is the minimum time after which an instance should ask again for a unit for which no engine has been
// chosen.
const minRetryDelay = 120 * time.Millisecond

// noCapacityRetry is when to ask again after no engine had capacity: about the duration of a load.
const noCapacityRetry = time.Second

// Want returns where a unit is loaded or will be. ok is false if no engine can take it; found.Ready then states when
// to ask again, or when a load of the unit can end at the earliest. During an outage of the store that is at least as
// long as the outage has lasted, since outages last from milliseconds to minutes.
func (h *Holder) Want(r Request, now time.Time) (found replicas.Found, ok bool, err error) {
	h.mu.Lock()
	if !h.lease.Held() {
		h.mu.Unlock()
		return found, false, ErrNotHolder
	}
	if now.Sub(h.serversRefreshedAt) >= refreshInterval {
		h.refreshServers()
	}
	if r.Missing != "" {
		h.noteMissingUnit(r.Missing, r.Unit, now)
	}
	if r.Unreachable != "" {
		h.fleet.Unreachable(r.Unreachable, now)
	}
	for _, id := range r.HeldBack {
		h.fleet.HoldBack(id, now)
	}
	outage := h.suspendInOutage(now)
	if r.Version != "" {
		found, ok = h.fleet.FindVersion(r.Service, r.Unit, r.Version, r.Waiting, now)
	} else {
		found, ok = h.fleet.Find(r.Service, r.Unit, r.Waiting, now)
	}
	var operations []replicas.Operation
	if found.Start != nil {
		operations = append(operations, *found.Start)
	}
	if ok && found.Engine == "" {
		if planned, ran := h.requestDispatch(now); ran {
			operations = append(operations, planned...)
			found, ok = h.fleet.Find(r.Service, r.Unit, replicas.Waiting{}, now)
		}
	}
	h.recordFound(r, found, now)
	h.mu.Unlock()
	for _, op := range operations {
		h.startOperation(op, "request")
	}
	if retry := now.Add(max(noCapacityRetry, outage)); !ok && found.Ready.Before(retry) {
		found.Ready = retry
	}
	if earliest := now.Add(minRetryDelay); ok && found.Engine == "" && found.Ready.Before(earliest) {
		found.Ready = earliest
	}
	return found, ok, nil
}

// Use is the start of a request on an engine.
type Use struct {
	Engine string
	Unit   serving.Unit
	// Instance is the sender, empty if it does not answer a RunsQuery.
	Instance string
}

// RequestStarted records the start of a request before the sending instance reports it.
func (h *Holder) RequestStarted(u Use, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Held() {
		h.fleet.UseStarted(u.Engine, u.Unit, now)
		h.uses.record(use{u.Engine, u.Unit.Model, u.Instance}, now, now)
	}
}
