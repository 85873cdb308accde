package holder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/waitlist"
)

// refusedRequests is the holder's part in the list of refused requests.
type refusedRequests struct {
	list *waitlist.List
	// update is the newest update for instances. It is replaced and never changed, because replies that are being
	// sent refer to it.
	update     waitlist.Update
	advancedAt time.Time
	loggedAt   time.Time
}

// exchangeWaitlist processes an instance's report of refused requests, and returns the update for it. h.mu must be
// held.
func (h *Holder) exchangeWaitlist(r waitlist.Report, now time.Time) waitlist.Update {
	w := &h.refused
	w.list.Record(r, now)
	if now.Sub(w.advancedAt).Abs() >= viewsInterval {
		w.advancedAt = now
		w.list.Advance(func(model string) float64 { return h.fleet.ServedRate(model, now) }, now)
		w.update = w.list.Update()
		h.logWaitlist(now)
	}
	return w.update
}

// waitlistLogInterval is the least time between two log lines about the list.
const waitlistLogInterval = time.Second

// logWaitlist logs the longest queue of the list. h.mu must be held.
func (h *Holder) logWaitlist(now time.Time) {
	w := &h.refused
	if now.Sub(w.loggedAt).Abs() < waitlistLogInterval {
		return
	}
	var longest waitlist.Status
	models, last := 0, ""
	for _, s := range w.list.Status(now) {
		if s.Listed > longest.Listed {
			longest = s
		}
		if s.Model != last {
			models, last = models+1, s.Model
		}
	}
	if longest.Listed == 0 {
		return
	}
	w.loggedAt = now
	c := w.list.Counts()
	h.log.WithFields(logrus.Fields{
		"unit": longest.Model, "priority": longest.Class.Priority, "objective_ms": longest.Class.Objective.Milliseconds(),
		"listed": longest.Listed, "due": longest.Due, "oldest_ms": longest.Oldest.Milliseconds(), "models": models,
		"begun_total": c.Begun, "unclaimed_total": c.Unclaimed, "full_total": c.Full,
	}).Info("refused requests wait for their turn")
}

// Waitlist returns the refused requests that are to return, by model and class. held is false at instances that do not
// hold the lease.
func (h *Holder) Waitlist(now time.Time) (all []waitlist.Status, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lease.Held() {
		return nil, false
	}
	return h.refused.list.Status(now), true
}

// WaitlistTotals returns the numbers of listed and due requests of all models, 0 at instances that do not hold the
// lease.
func (h *Holder) WaitlistTotals(now time.Time) (sum waitlist.Status) {
	all, _ := h.Waitlist(now)
	for _, s := range all {
		sum.Listed += s.Listed
		sum.Due += s.Due
	}
	return sum
}

// lessBooked lowers the shares of newcomers to admit by what is kept for refused requests whose turn has come, so that
// both together are not more than the engines serve. h.mu must be held.
func (h *Holder) lessBooked(shares map[string]float64, now time.Time) map[string]float64 {
	for model, share := range shares {
		booked := 0.0
		for _, perSecond := range h.refused.list.Booked(model) {
			booked += perSecond
		}
		if booked > 0 {
			shares[model] = h.fleet.LessBooked(model, share, booked, now)
		}
	}
	return shares
}
