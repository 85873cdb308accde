package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Leaver is a server's process that has said in an answer that it leaves.
type Leaver struct {
	ID   string
	Born int64
}

// Leave notes that a process has said in an answer that it leaves, and reports whether that was
// not known. It is draining from then on to its end, whatever its entry says: the entry may be
// from before, and the store may be away and not take a newer one for long.
func (d *Directory) Leave(l Leaver, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, live := d.servers[l.ID]
	known, drains := d.draining[l.ID]
	if live && serving.BornBefore(l.Born, s.Born) || drains && !serving.BornBefore(known.born, l.Born) {
		return false // the word is of a process before, or nothing new
	}
	d.draining[l.ID] = drain{at: now, born: l.Born, said: true}
	if live && s.SameLife(l.Born) && !s.Draining {
		d.digest ^= digestOf(s)
		s.Draining = true
		d.servers[l.ID] = s
		d.digest ^= digestOf(s)
		d.touch(l.ID)
	}
	return true
}

// Leavers returns the live servers that have said in answers that they leave, to tell other
// instances: those that hear nothing of the store have no other way to learn it.
func (d *Directory) Leavers() []Leaver {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []Leaver
	for id, known := range d.draining {
		if _, live := d.servers[id]; live && known.said {
			list = append(list, Leaver{ID: id, Born: known.born})
		}
	}
	slices.SortFunc(list, func(a, b Leaver) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
