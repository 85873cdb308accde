package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/serving"
)

// Parts of a limit.
const (
	// lentRate and lentSaved are the parts of what a limit gains and of what may be saved up
	// that are lent at the most. The rest is for questions: of instances where nothing was
	// asked for of late, and of those that ask for more.
	lentRate, lentSaved = 0.85, 0.7
	// ahead is by how much a share is above what is asked for at an instance on average, so
	// that most of what comes in bursts needs no question.
	ahead = 1.5
	// demandMemory is how long what is asked for counts: long enough that a few requests a
	// second are an average, short against the bursts in which it changes.
	demandMemory = 3 * time.Second
	// usualMemory is the weight of the newest report in what a request asks for on average.
	usualMemory = 0.05
	// alikePart is the part of a share by which it is not changed.
	alikePart = 0.3
	// keptPart is the part of what an instance may save up that it keeps when it reports.
	// The rest is room for what it gains until the next report.
	keptPart = 0.6
	// savedFor is for how long what an instance may save up lasts it, and usualSaved how many
	// usual requests it may save up beyond that. Those that report first would else have all
	// that can be lent: of what was asked for in the first two seconds of a load 7 in 10
	// requests were refused.
	savedFor   = 3 * time.Second
	usualSaved = 2
	// worthHaving is how many usual requests a share has to hold.
	worthHaving = 1
	// heaviestKept is how many of the heaviest requests the holder can grant at once.
	heaviestKept = 2
	// lifetimeSlack is the part by which the holder counts a share for longer than the
	// instance uses it: their clocks do not run alike.
	lifetimeSlack = 0.02
)

// Lender is the holder's account of what it lends. It is not safe for concurrent use.
type Lender struct {
	params Params
	// began is when this instance became the holder; first: nobody was before.
	began time.Time
	first bool
	// left is what the holder before had for questions of each workspace's limit when it
	// stopped to lend, as far as it has said so.
	left     map[string]float64
	accounts map[string]*account
	// reported are the instances that have reported since, and awaited those that have not and
	// may have shares of the holder before; nil while they are not known.
	reported, awaited map[string]bool
	// complete is when all of them had reported, zero before.
	complete time.Time
}

// account is one workspace's.
type account struct {
	limit serving.Limit
	// own is what the holder keeps for questions, and free what it gains and may save up, as
	// of when own was settled.
	own   Bucket
	free  Share
	loans map[string]*loan
	// heaviest is the largest amount asked for at once, and usual the mean one, of late.
	heaviest, usual float64
	// inherited are all shares of the holder before that were reported to this one.
	inherited Share
	// asked and refused are totals.
	asked, refused float64
	// turns is until when what will be gained is promised, see AskInTurn.
	turns time.Time
}

// loan is what one instance has.
type loan struct {
	// held is the share that it reported, told the one that it was told since.
	held, told Share
	until      time.Time
	// demand is what is asked for there a second, as of noted.
	demand float64
	noted  time.Time
}

// counted is what the instance may have.
func (l *loan) counted() Share { return l.held.larger(l.told) }

// NewLender returns the account of an instance that has just become the holder. first: nobody
// was before, so that nothing has been lent. left is what the holder before has left over, by
// workspace.
func NewLender(p Params, first bool, left map[string]float64, now time.Time) *Lender {
	return &Lender{params: p, began: now, first: first, left: left, accounts: map[string]*account{}, reported: map[string]bool{}}
}

// Expect says which instances may have shares of the holder before.
func (l *Lender) Expect(names []string) {
	l.awaited = map[string]bool{}
	for _, name := range names {
		if !l.reported[name] {
			l.awaited[name] = true
		}
	}
}

// Limits returns a workspace's limit; ok is false if there is no such workspace.
type Limits func(workspace string) (limit serving.Limit, ok bool)

// Lend takes over an instance's report and returns what it is lent: all shares that it has
// from now on. It must be called only while the lease is good and that of the holder before
// is over.
func (l *Lender) Lend(instance string, uses []Use, limits Limits, now time.Time) []Loan {
	l.Heard(instance, uses, limits, now)
	var loans []Loan
	for _, use := range uses {
		if a := l.accounts[use.Workspace]; a != nil {
			loans = append(loans, l.lend(a, use, instance, now))
		}
	}
	return loans
}

// Heard takes over an instance's report. It keeps the shares that it has.
func (l *Lender) Heard(instance string, uses []Use, limits Limits, now time.Time) {
	first := !l.reported[instance]
	l.reported[instance] = true
	delete(l.awaited, instance)
	defer l.checkComplete(now)
	reported := map[string]bool{}
	for _, use := range uses {
		limit, known := limits(use.Workspace)
		if !known || !limit.Limited() {
			delete(l.accounts, use.Workspace)
			continue
		}
		reported[use.Workspace] = true
		a := l.account(use.Workspace, limit, now)
		a.note(instance, use, l.params.Lifetime, now)
		if first {
			a.inherited = a.inherited.plus(use.Held)
		}
	}
	for name, a := range l.accounts {
		if !reported[name] {
			delete(a.loans, instance) // it has started anew, or has had no share for long
		}
	}
}

// checkComplete notes when all instances have reported.
func (l *Lender) checkComplete(now time.Time) {
	if !l.first && l.complete.IsZero() && l.awaited != nil && len(l.awaited) == 0 {
		l.complete = now
	}
}

// Ask answers a question for one request. It must be called only while the lease is good and
// that of the holder before is over.
func (l *Lender) Ask(workspace string, cost float64, limit serving.Limit, now time.Time) Answer {
	if !limit.Limited() {
		return Answer{Granted: true, Known: true}
	}
	a := l.account(workspace, limit, now)
	l.settle(a, now)
	switch {
	case a.own.Take(cost):
		return Answer{Granted: true, Known: true}
	case cost > l.params.saved(limit):
		return Answer{Known: true}
	}
	// What is lent comes back as it is used up, so the whole rate counts.
	return Answer{Known: true, After: time.Duration((cost - a.own.level) / limit.Rate * float64(time.Second))}
}

// account returns a workspace's account by its limit.
func (l *Lender) account(workspace string, limit serving.Limit, now time.Time) *account {
	a := l.accounts[workspace]
	if a == nil || a.limit.Tokens != limit.Tokens {
		a = &account{limit: limit, loans: map[string]*loan{}}
		a.own.settled = now
		a.free = l.whole(a).minus(l.unknown(a, now))
		a.own.level = l.left[workspace]
		switch {
		case l.first:
			a.own.level = l.params.saved(limit)
		case !l.complete.IsZero():
			a.own.settled = l.complete // nobody has had a share of it since
		}
		l.accounts[workspace] = a
	}
	if a.limit != limit {
		l.settle(a, now)
		a.limit = limit
	}
	return a
}

// settle adds what the holder has gained of what nobody else may have. It returns what all
// instances may have.
func (l *Lender) settle(a *account, now time.Time) (given Share) {
	given = l.lentTo(a, now)
	l.setGiven(a, given, now)
	return given
}

// setGiven notes what all instances may have from now on.
func (l *Lender) setGiven(a *account, given Share, now time.Time) {
	free := l.whole(a).minus(given)
	a.own.Settle(Share{Rate: min(free.Rate, a.free.Rate), Saved: free.Saved}, now) // some may have ended since
	a.free = free
}

// note takes over what an instance reports.
func (a *account) note(instance string, use Use, lifetime time.Duration, now time.Time) {
	lo := a.loans[instance]
	if lo == nil {
		lo = &loan{noted: now.Add(-demandMemory / 4)}
		a.loans[instance] = lo
	}
	lo.held, lo.told = use.Held, use.Held
	lo.until = now.Add(time.Duration((1 + lifetimeSlack) * float64(lifetime)))
	elapsed := max(time.Millisecond, now.Sub(lo.noted))
	weight := min(1, elapsed.Seconds()/demandMemory.Seconds())
	lo.demand += weight * (use.Asked/elapsed.Seconds() - lo.demand)
	lo.noted = now
	a.heaviest = max(use.Heaviest, a.heaviest*(1-weight/float64(len(a.loans))))
	if use.Requests > 0 {
		usual := use.Asked / float64(use.Requests)
		if a.usual == 0 {
			a.usual = usual
		}
		a.usual += usualMemory * (usual - a.usual)
	}
	a.own.level += use.Returned
	a.asked += use.Asked
	a.refused += use.Refused
}

// lend decides an instance's share anew, and returns what it is told.
func (l *Lender) lend(a *account, use Use, instance string, now time.Time) Loan {
	lo := a.loans[instance]
	others := l.settle(a, now).minus(lo.counted())
	want := l.want(a, lo)
	if alike(want, lo.held) {
		want = lo.held
	}
	lo.told = want.within(l.lendable(a).minus(others))
	l.setGiven(a, others.plus(lo.counted()), now)
	loan := Loan{Workspace: use.Workspace, Share: lo.told, Keep: lo.told.Saved * keptPart}
	// What the instance lacks is made up from what the holder keeps, if it has plenty.
	if missing := min(loan.Keep-use.Level, a.own.level/2); missing > 0 && a.own.Take(missing) {
		loan.Grant = missing
	}
	return loan
}

// alike reports whether a share is not worth changing for another: while it changes the larger
// of the two counts.
func alike(want, held Share) bool {
	return math.Abs(want.Rate-held.Rate) <= alikePart*held.Rate && math.Abs(want.Saved-held.Saved) <= alikePart*held.Saved
}

// want returns the share that an instance should have by what is asked for there. One that
// does not hold a usual request is not worth having: it would lie idle. Of a workspace that asks
// for more than its limit nothing is lent: questions alone let requests run in the order in which
// they come, which, with no pause between questions, gained .018 +- .010 of worth (6 pairs of
// days on the users' platform).
func (l *Lender) want(a *account, lo *loan) Share {
	all, demand := l.lendable(a), a.demand()
	if demand <= 0 || demand > a.limit.Rate {
		return Share{}
	}
	part := lo.demand / demand
	share := Share{Rate: min(ahead*lo.demand, all.Rate*part), Saved: min(all.Saved*part, savedFor.Seconds()*lo.demand+usualSaved*a.usual)}
	if share.Saved < worthHaving*a.usual || share.Rate <= 0 {
		return Share{}
	}
	return share
}

// lendable is what may be lent of a limit: all but a part for questions, which holds the
// heaviest requests.
func (l *Lender) lendable(a *account) Share {
	most := l.mostLent(a)
	return Share{Rate: most.Rate, Saved: max(0, min(most.Saved, l.whole(a).Saved-heaviestKept*a.heaviest))}
}

// mostLent is what is ever lent of a limit.
func (l *Lender) mostLent(a *account) Share {
	all := l.whole(a)
	return Share{Rate: lentRate * all.Rate, Saved: lentSaved * all.Saved}
}

// whole is what there is of a limit.
func (l *Lender) whole(a *account) Share {
	return Share{Rate: a.limit.Rate, Saved: l.params.saved(a.limit)}
}

// lentTo is what all instances may have.
func (l *Lender) lentTo(a *account, now time.Time) Share {
	sum := l.unknown(a, now)
	for name, lo := range a.loans {
		if !now.Before(lo.until) {
			delete(a.loans, name)
			continue
		}
		sum = sum.plus(lo.counted())
	}
	return sum
}

// unknown is what instances may have that have not reported to this holder, of the one before:
// what is ever lent, less what others have of it.
func (l *Lender) unknown(a *account, now time.Time) Share {
	over := now.Sub(l.began) > time.Duration((1+lifetimeSlack)*float64(l.params.Lifetime))
	if l.first || !l.complete.IsZero() || over {
		return Share{}
	}
	return l.mostLent(a).minus(a.inherited)
}

// demand is what is asked for a second at all instances.
func (a *account) demand() float64 {
	sum := 0.0
	for _, lo := range a.loans {
		sum += lo.demand
	}
	return sum
}

// Total is what the holder knows of one workspace.
type Total struct {
	Workspace string
	Limit     serving.Limit
	// Asked and Refused are totals since this holder began; Demand is what is asked for a
	// second.
	Asked, Refused, Demand float64
	// Lent is what instances may have, and Left what the holder could grant now.
	Lent Share
	Left float64
}

// Totals returns what is known of all workspaces with a limit that were asked for.
func (l *Lender) Totals(now time.Time) []Total {
	var list []Total
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		given := l.settle(a, now)
		list = append(list, Total{Workspace: name, Limit: a.limit, Asked: a.asked, Refused: a.refused, Demand: a.demand(), Lent: given, Left: a.own.level})
	}
	return list
}

// Left returns what there is for questions of each workspace's limit. It is the next holder's if
// this one lends nothing more.
func (l *Lender) Left(now time.Time) map[string]float64 {
	left := map[string]float64{}
	for name, a := range l.accounts {
		l.settle(a, now)
		left[name] = math.Floor(a.own.level)
	}
	return left
}
