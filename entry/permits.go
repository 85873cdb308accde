package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/command/brittle"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/store"
)

// permits asks other instances for permits to send to brittle servers. The semaphore of a server is kept by the first
// instance that answers, in an order by the server's ID that begins with those in the server's failure domain, so that a
// domain that is cut off goes on with its own. It implements brittle.Permits.
type permits struct {
	self    string
	members *members
	pool    *rpcpool.Pool
	// local handles the calls to this instance itself; set before the first request.
	local *service
	// gate has what this instance has in flight, brittleServer returns what is known of a server if it is brittle; set before
	// the first request.
	gate          *brittle.Gate
	brittleServer func(s serving.Server) (b brittle.Server, isBrittle bool)
	// anyBrittle reports whether a server is known to be brittle; set before run.
	anyBrittle func() bool
	// reachesHolder reports whether another instance is the holder and answers; set before the first request.
	reachesHolder func() bool
	dir           *directory.Directory
	set           *metrics.Set
	// renewed are the brittle servers at which this instance had something in flight at the last renewal, by ID; used by run
	// only.
	renewed map[string]brittle.Server

	mu sync.Mutex
	// unreachable are the addresses of instances that do not answer; guarded by mu.
	unreachable map[string]bool
	// keepers are the instances that last kept the semaphores of servers, by server ID; guarded by mu.
	keepers map[string]member
	// heardAt is when another instance last answered or called; guarded by mu.
	heardAt time.Time
}

const (
	// maxKeepersAsked is the number of instances that a request asks in turn while they do not answer.
	maxKeepersAsked = 3
	// permitTimeout bounds a call beyond the time for which the request waits: several round trips between failure
	// domains, plus time for an instance that is short of processor time, and for one that passes the call on in vain.
	permitTimeout = 400 * time.Millisecond
	// permitRenewInterval is how often permits are renewed: several times in their lifetime.
	permitRenewInterval = brittle.PermitLifetime / 4
	// permitIdleInterval is how often an instance looks for permits to renew while it knows of no brittle server.
	permitIdleInterval = brittle.PermitLifetime / 2
	// minKeeperRetry and maxKeeperRetry are the first and the longest pause before an instance is tried again that did not
	// answer.
	minKeeperRetry, maxKeeperRetry = 200 * time.Millisecond, time.Second
	// keeperRetryTime is how long such an instance is tried.
	keeperRetryTime = time.Minute
	// relayTimeout is permitTimeout for calls that are passed on, so that the caller is still there if they fail.
	relayTimeout = permitTimeout / 4
	// isolationDelay is how long after it last heard of another instance an instance does not count as isolated.
	isolationDelay = 2 * time.Second
)

func newPermits(self string, dir *directory.Directory, m *members, pool *rpcpool.Pool, set *metrics.Set) *permits {
	return &permits{self: self, dir: dir, members: m, pool: pool, set: set, unreachable: map[string]bool{}, keepers: map[string]member{}}
}

// newPermits returns the instance's permits, with a gate that uses them.
func (i *Instance) newPermits() *permits {
	self := i.members.self.Name
	p := newPermits(self, i.dir, i.members, i.follower.pool, i.set)
	p.local, p.brittleServer, p.reachesHolder = i.service, i.limiter.Brittle, i.follower.reachesOtherHolder
	p.gate = brittle.NewGate(self, p, i.instanceCount)
	p.anyBrittle = func() bool { return i.limiter.ledger.CountBrittle() > 0 }
	return p
}

// instanceCount returns the number of instances: those that report to the holder, or that are registered if those are more.
func (i *Instance) instanceCount() int { return max(i.follower.knownInstances(), i.members.count()) }

// Acquire implements brittle.Permits.
func (p *permits) Acquire(ctx context.Context, r brittle.Request) brittle.Answer {
	for _, k := range p.candidates(ctx, r.Server) {
		if p.isIsolatedSubstitute(k) {
			break
		}
		r.Moved, r.Substitute = p.hasMoved(r.Server.ID, k.member), k.substitute
		reply, err := p.acquireFrom(ctx, k.member, r)
		switch {
		case err == nil:
			p.setKeeper(r.Server.ID, k.member)
			answer := brittle.Answer{Answered: true, Grant: reply.Grant}
			p.count(answer)
			return answer
		case ctx.Err() != nil:
			return brittle.Answer{Answered: true}
		}
		p.markUnreachable(k.member)
	}
	p.count(brittle.Answer{})
	return brittle.Answer{}
}

func (p *permits) count(a brittle.Answer) {
	outcome := "unanswered"
	switch {
	case a.Granted:
		outcome = "granted"
	case a.Answered:
		outcome = "refused"
	}
	p.set.GetOrCreateCounter(`martenport_brittle_permits_total{outcome="` + outcome + `"}`).Inc()
}

// acquireFrom asks an instance for a permit. If ctx ends meanwhile, a permit that is still granted is released.
func (p *permits) acquireFrom(ctx context.Context, k member, r brittle.Request) (*AcquirePermitReply, error) {
	type result struct {
		reply *AcquirePermitReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply := &AcquirePermitReply{}
		err := p.call(k, r.Wait+permitTimeout, methodAcquirePermit, &AcquirePermitArgs{Request: r}, reply)
		done <- result{reply, err}
		if err == nil && reply.Granted && ctx.Err() != nil {
			p.releaseAt(k, &ReleasePermitArgs{Server: r.Server, Permit: r.Permit})
		}
	}()
	select {
	case res := <-done:
		return res.reply, res.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "entry: permit")
	}
}

// Accept implements brittle.Permits.
func (p *permits) Accept(s brittle.Server, permit brittle.Permit) {
	p.report(s, &ReleasePermitArgs{Server: s, Permit: permit, Running: true})
}

// Release implements brittle.Permits.
func (p *permits) Release(s brittle.Server, permit brittle.Permit, o brittle.Outcome) {
	p.report(s, &ReleasePermitArgs{Server: s, Permit: permit, Outcome: o})
}

// report tells the instance that keeps the semaphore of a server what came of a permit.
func (p *permits) report(s brittle.Server, args *ReleasePermitArgs) {
	if k, found := p.keeper(s.ID); found {
		go p.releaseAt(k, args)
		return
	}
	if list := p.candidates(context.Background(), s); len(list) > 0 {
		go p.releaseAt(list[0].member, args)
	}
}

// releaseAt releases a permit at the instance that granted it. If that does not answer, the permit expires.
func (p *permits) releaseAt(k member, args *ReleasePermitArgs) {
	if err := p.call(k, permitTimeout, methodReleasePermit, args, &ReleasePermitReply{}); err != nil {
		p.markUnreachable(k)
	}
}

// call calls an instance, without the network if that is this one.
func (p *permits) call(k member, timeout time.Duration, method string, args, reply any) error {
	if k.Name == p.self {
		return p.callSelf(args, reply)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := p.pool.Call(ctx, k.Address, method, args, reply); err != nil {
		return err
	}
	p.recordHeard()
	return nil
}

// relay passes a call about a server on to the instance that keeps its semaphore, and reports whether that answered. Callers
// that could not reach that instance a moment ago ask others, which may reach it. It does nothing if this is the one.
func (p *permits) relay(s brittle.Server, wait time.Duration, method string, args, reply any) bool {
	list := p.candidates(context.Background(), s)
	if len(list) == 0 || list[0].Name == p.self {
		return false
	}
	if err := p.call(list[0].member, wait+relayTimeout, method, args, reply); err != nil {
		p.markUnreachable(list[0].member)
		return false
	}
	return true
}

// recordHeard records that another instance has answered or called.
func (p *permits) recordHeard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = clock.Now()
}

func (p *permits) callSelf(args, reply any) error {
	switch a := args.(type) {
	case *AcquirePermitArgs:
		return p.local.AcquirePermit(a, reply.(*AcquirePermitReply))
	case *ReleasePermitArgs:
		return p.local.ReleasePermit(a, reply.(*ReleasePermitReply))
	case *RenewPermitsArgs:
		return p.local.RenewPermits(a, reply.(*RenewPermitsReply))
	default:
		return errors.Newf("entry: unsupported call %T", args)
	}
}

// candidate is an instance that may keep a semaphore.
type candidate struct {
	member
	// substitute is set if another instance is to keep it, but does not answer.
	substitute bool
}

// isIsolatedSubstitute reports whether a candidate is this instance itself, which has no path to those that rank before it or
// to any other: they go on without it.
func (p *permits) isIsolatedSubstitute(k candidate) bool {
	if k.Name != p.self || !k.substitute || p.reachesHolder() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Since(p.heardAt) > isolationDelay
}

// candidates returns the instances that may keep a server's semaphore and answered when they were last called, the first one
// first.
func (p *permits) candidates(ctx context.Context, s brittle.Server) (list []candidate) {
	ctx, cancel := context.WithTimeout(store.WithStaleReads(ctx), permitTimeout)
	defer cancel()
	ranked := p.members.ranked(ctx, s.ID, s.FailureDomain)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, m := range ranked {
		if len(list) < maxKeepersAsked && !p.unreachable[m.Address] {
			list = append(list, candidate{member: m, substitute: i > 0})
		}
	}
	return list
}

// hasMoved reports whether another instance than k kept the semaphore of a server when this one last asked.
func (p *permits) hasMoved(server string, k member) bool {
	last, found := p.keeper(server)
	return found && last.Address != k.Address
}

// keeper returns the instance that last kept the semaphore of a server; found is false if none did.
func (p *permits) keeper(server string) (k member, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, found = p.keepers[server]
	return k, found
}

func (p *permits) setKeeper(server string, k member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepers[server] = k
}

// markUnreachable has an instance passed over until it answers again.
func (p *permits) markUnreachable(k member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.Name == p.self || p.unreachable[k.Address] {
		return
	}
	p.unreachable[k.Address] = true
	go p.awaitAnswer(k)
}

// awaitAnswer tries an instance until it answers.
func (p *permits) awaitAnswer(k member) {
	wait := minKeeperRetry
	for begun := clock.Now(); clock.Since(begun) < keeperRetryTime; wait = min(maxKeeperRetry, 2*wait) {
		time.Sleep(wait)
		if p.call(k, permitTimeout, methodRenewPermits, &RenewPermitsArgs{}, &RenewPermitsReply{}) == nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unreachable, k.Address)
}

// run renews this instance's permits, and checks the semaphores that it keeps, until ctx ends.
func (p *permits) run(ctx context.Context) {
	wait := permitIdleInterval
	for pause.For(ctx, wait) {
		kept := p.local.semaphores.sweep(clock.Now())
		isBrittle := p.anyBrittle()
		if isBrittle {
			p.renew(ctx)
		}
		wait = permitIdleInterval
		if isBrittle || kept > 0 {
			wait = permitRenewInterval
		}
	}
}

// renew tells the instances that keep semaphores what this one has in flight, and for servers at which nothing is any more,
// that.
func (p *permits) renew(ctx context.Context) {
	inFlight, renewed := p.gate.Renewals(clock.Now()), map[string]brittle.Server{}
	args := map[member]*RenewPermitsArgs{}
	for id, r := range inFlight {
		server, _ := p.dir.Server(id)
		if s, isBrittle := p.brittleServer(server); isBrittle {
			renewed[id] = s
			p.addRenewal(ctx, args, s, r)
		}
	}
	for id, s := range p.renewed {
		if _, found := inFlight[id]; !found {
			p.addRenewal(ctx, args, s, brittle.Renewal{Instance: p.self})
		}
	}
	p.renewed = renewed
	for k, a := range args {
		go p.renewAt(k, a)
	}
}

// addRenewal adds the renewal of the permits for a server to what is sent to the instance that keeps its semaphore.
func (p *permits) addRenewal(ctx context.Context, args map[member]*RenewPermitsArgs, s brittle.Server, r brittle.Renewal) {
	list := p.candidates(ctx, s)
	if len(list) == 0 || p.isIsolatedSubstitute(list[0]) {
		return
	}
	k := list[0]
	if args[k.member] == nil {
		args[k.member] = &RenewPermitsArgs{}
	}
	r.Server, r.Moved, r.Substitute = s, p.hasMoved(s.ID, k.member), k.substitute
	args[k.member].Renewals = append(args[k.member].Renewals, r)
}

// renewAt renews permits at one instance.
func (p *permits) renewAt(k member, args *RenewPermitsArgs) {
	if err := p.call(k, permitTimeout, methodRenewPermits, args, &RenewPermitsReply{}); err != nil {
		p.markUnreachable(k)
		return
	}
	for _, r := range args.Renewals {
		p.setKeeper(r.Server.ID, k)
	}
}

// forget drops the state of servers that are not known any more.
func (p *permits) forget(known func(id string) bool) {
	p.gate.Forget(known)
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.keepers {
		if !known(id) {
			delete(p.keepers, id)
		}
	}
}
