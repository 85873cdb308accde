package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// LeavingServer is a server process that announced in a response that it is leaving.
type LeavingServer struct {
	ID   string
	Born int64
}

// MarkLeaving records that a process announced in a response that it is leaving, and reports whether that is new. The
// process is draining from then until it ends, even if its entry states otherwise: the entry may be older, and the
// store may be unavailable for a long time and not accept a newer one.
func (d *Directory) MarkLeaving(l LeavingServer, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, live := d.servers[l.ID]
	known, draining := d.draining[l.ID]
	if live && serving.StartedBefore(l.Born, s.Born) || draining && !serving.StartedBefore(known.born, l.Born) {
		return false // announced by an earlier process, or already known
	}
	d.draining[l.ID] = drainRecord{at: now, born: l.Born, announced: true}
	if live && s.MayBeSameProcess(l.Born) && !s.Draining {
		d.digest ^= digestOf(s)
		s.Draining = true
		d.servers[l.ID] = s
		d.digest ^= digestOf(s)
		d.markChanged(l.ID)
	}
	return true
}

// LeavingServers returns the live servers that have announced in responses that they are leaving. Instances that
// cannot reach the store learn of them only from other instances.
func (d *Directory) LeavingServers() []LeavingServer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []LeavingServer
	for id, known := range d.draining {
		if _, live := d.servers[id]; live && known.announced {
			list = append(list, LeavingServer{ID: id, Born: known.born})
		}
	}
	slices.SortFunc(list, func(a, b LeavingServer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
