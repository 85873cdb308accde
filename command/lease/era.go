package lease

// eraBits are the lower bits of a fencing token, which count the take-overs of an era: at one a
// second they last for half a year.
const eraBits = 24

// FirstFence returns the token below all those of an era, and above those of the eras before.
func FirstFence(era int64) int64 { return era << eraBits }

// CameBack reports whether the record, read in an era of the store, was written in an earlier one:
// it came back with a copy, and others may have held the lease since.
func (r Record) CameBack(era int64) bool { return r.Era != era }

// Vacant reports whether nobody holds the lease by the record, or it says nothing of who does.
func (r Record) Vacant(era int64) bool { return r.Fence == 0 || r.Released || r.CameBack(era) }

// None is the record where it is certain that nobody has held the lease yet.
func None(era int64) Record { return Record{Era: era} }

// asOf returns the record, or one of an unknown holder that has renewed the lease until now.
func (r Record) asOf(era int64) Record {
	if !r.CameBack(era) {
		return r
	}
	return Record{Fence: max(1, r.Fence), Era: era}
}

// EraBegan notes that an era of the store has begun, and reports whether the lease was lost by that.
func (l *Lease) EraBegan(era int64) (lost bool) {
	lost = l.held && l.revision.Era() < era
	if lost {
		l.held = false
	}
	return lost
}
