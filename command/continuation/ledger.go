package continuation

// Target is an engine that could keep the backup of a stream.
type Target struct {
	ID, FailureDomain string
	// Running is the number of requests that are known to run there, and Slots the number that it
	// runs concurrently, 0 if that is not known.
	Running, Slots int
}

// Limits bound the backups that one instance has engines keep: they occupy memory that the requests
// of the backup engine could use.
type Limits struct {
	// PerTarget is the number of backups at one engine, Total that at all engines.
	PerTarget, Total int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits { return Limits{PerTarget: 4, Total: 64} }

// Ledger counts the backups that engines keep for streams of this instance. It is not safe for
// concurrent use.
type Ledger struct {
	limits   Limits
	byTarget map[string]int
	total    int
}

// NewLedger returns a Ledger without backups.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l, byTarget: map[string]int{}} }

// InUse returns the number of backups.
func (l *Ledger) InUse() int { return l.total }

// Reserve chooses the engine that keeps the backup of a stream that runs on an engine in a failure
// domain, and counts the backup until it is released. It returns "" if no engine has room for it.
// Engines in other failure domains come first, then those with fewer backups, then those with fewer
// requests. Among equal ones, the first target is chosen.
func (l *Ledger) Reserve(engine, failureDomain string, targets []Target) string {
	if l.total >= l.limits.Total {
		return ""
	}
	best := -1
	for i, t := range targets {
		if t.ID == engine || l.byTarget[t.ID] >= l.limits.PerTarget || t.Slots > 0 && t.Running >= t.Slots {
			continue
		}
		if best < 0 || l.better(t, targets[best], failureDomain) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	id := targets[best].ID
	l.byTarget[id]++
	l.total++
	return id
}

// better reports whether a is a better place than b for the backup of a stream in a failure domain.
func (l *Ledger) better(a, b Target, failureDomain string) bool {
	if other := a.FailureDomain != failureDomain; other != (b.FailureDomain != failureDomain) {
		return other
	}
	if x, y := l.byTarget[a.ID], l.byTarget[b.ID]; x != y {
		return x < y
	}
	return a.Running < b.Running
}

// Release ends the count of a backup.
func (l *Ledger) Release(target string) {
	if l.byTarget[target] == 0 {
		return
	}
	l.total--
	if l.byTarget[target]--; l.byTarget[target] == 0 {
		delete(l.byTarget, target)
	}
}
