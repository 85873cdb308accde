package brittle

import "time"

const (
	// rejectionWindow is the time over which rejections count: the second over which a server counts them, and the time
	// that word of a rejection takes.
	rejectionWindow = 1200 * time.Millisecond
	// probePause is how long after a rejection no more requests are in flight than are known to have room, and
	// queueProbePause is the same after the rejection of a request that would have had to wait for a slot.
	probePause, queueProbePause = 2 * time.Second, 10 * time.Second
	// cautiousAfter is the number of recent rejections from which on all requests are in doubt that are not known to be
	// accepted: then the room becomes less.
	cautiousAfter = 2
	// provenLifetime is how long a number of requests counts as proven without being reached.
	provenLifetime = 10 * time.Second
)

// limit is the number of requests that may be in flight at one brittle server. It is learnt from below: a request beyond
// the proven number is in doubt, since the server may reject it, and there are never more requests in doubt than rejections
// that the server tolerates.
type limit struct {
	// slots and tolerated are those of the server, see Server.
	slots, tolerated int
	// proven is the number of requests in flight at which the last one was accepted, and provenAt when it was last
	// reached.
	proven   int
	provenAt time.Time
	// probeFrom is from when more than proven requests may be in flight, and queueFrom from when more than the slots.
	probeFrom, queueFrom time.Time
	// floor is the number of requests that counts as proven without having been tried.
	floor int
	// rejections are the times of the rejections within rejectionWindow.
	rejections []time.Time
}

// newLimit returns the limit of a server with the given slots. trusted is whether all requests in flight there are known: then
// half of the slots count as proven, else nothing does.
func newLimit(slots, tolerated int, trusted bool, now time.Time) limit {
	l := limit{slots: slots, tolerated: tolerated, provenAt: now}
	if trusted {
		l.floor = slots / 2
		l.proven = l.floor
	}
	return l
}

// doubts returns how many requests may be in doubt at a time: half of the rejections that the server tolerates, since
// requests may reach it without a permit. A server that tolerates none gets them one by one.
func (l *limit) doubts() int { return max(1, (l.tolerated+1)/2) }

// most returns the largest number of requests in flight. Some more than the server has slots for let it begin the next
// one as soon as one ends; a server that tolerates no rejection is not asked for that.
func (l *limit) most() int {
	if l.tolerated == 0 {
		return l.slots
	}
	return l.slots + l.doubts()
}

// isDoubtful reports whether a request may be rejected that is the level-th in flight.
func (l *limit) isDoubtful(level int) bool { return level > l.proven }

// allows reports whether a request may be sent as the level-th in flight, beside the given number of abandoned ones.
// doubtful and unsettled are the numbers of requests in flight that are in doubt, and of which it is not known yet whether
// the server accepted them.
func (l *limit) allows(level, abandoned, doubtful, unsettled int, now time.Time) bool {
	l.expire(now)
	highest := level + abandoned
	switch {
	case l.slots > 0 && level > l.most():
		return false
	case l.isDoubtful(highest) && (now.Before(l.probeFrom) || highest > l.slots && now.Before(l.queueFrom)):
		return false
	case len(l.rejections) >= min(cautiousAfter, max(1, l.tolerated)):
		return len(l.rejections)+unsettled < l.tolerated
	default:
		return !l.isDoubtful(highest) || doubtful < l.doubts()
	}
}

// accept records that the server accepted a request that was the level-th in flight when it was sent.
func (l *limit) accept(level int, sent, now time.Time) {
	if n := len(l.rejections); n > 0 && l.rejections[n-1].After(sent) {
		return // the room has become less
	}
	if level >= l.proven {
		l.proven, l.provenAt = level, now
	}
}

// reject records that the server rejected a request that was the level-th in flight.
func (l *limit) reject(level int, now time.Time) {
	l.expire(now)
	room := level - 1
	switch {
	case l.slots > 0 && room >= l.slots:
		room = l.slots
		l.queueFrom = now.Add(queueProbePause)
	case len(l.rejections) == 0 && level <= l.floor:
		room = l.proven // a model that is being loaded or unloaded is another reason to reject a request
	case len(l.rejections) > 0:
		room = min(room, l.proven*3/4)
		fallthrough
	default:
		l.probeFrom = now.Add(probePause)
	}
	l.proven, l.floor, l.provenAt = min(l.proven, room), min(l.floor, room), now
	l.rejections = append(l.rejections, now)
}

// distrust makes all requests beyond the given number doubtful, since other requests may be in flight that are not known.
func (l *limit) distrust(inFlight int) {
	l.proven, l.floor = min(l.proven, inFlight), min(l.floor, inFlight)
}

// expire drops what is too old.
func (l *limit) expire(now time.Time) {
	for len(l.rejections) > 0 && now.Sub(l.rejections[0]) >= rejectionWindow {
		l.rejections = l.rejections[1:]
	}
	if now.Sub(l.provenAt) >= provenLifetime {
		l.proven, l.provenAt = max(l.floor, l.proven/2), now
	}
}
