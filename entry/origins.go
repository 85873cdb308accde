package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/rendezvous"
)

// streamOrigins shares at which software version streams began while servers of several versions serve. The instance
// that relays a stream's first event sends the origin to another instance in each failure domain, chosen by the attempt's
// ID, and an instance at which a client resumes the stream asks the same ones. The first event does not wait for
// them: a stream whose origin is lost does not go on. An origin that no other instance keeps is sent again. While the
// services of a route have one version nothing is sent; the origins of that time are sent when servers of a second version
// appear. An instance archives in the store what it keeps for others, so that streams go on after all instances were killed.
// It implements forward.Origins.
type streamOrigins struct {
	table *skew.Origins
	// unsent has the streams that began here while their service had one version.
	unsent  skew.Recent
	unkept  unkeptOrigins
	archive *originArchive
	dir     *directory.Directory
	members *members
	pool    *rpcpool.Pool
	marks   *versionMarks
	// list has the versions of the servers there are, and marked those that marks name.
	list, marked *versionReads
	set          *metrics.Set
	log          logrus.FieldLogger
	// sending is the number of origins that are being sent.
	sending atomic.Int64
	// unheardUntil is until when no instance is taken to hear of origins, since none kept the last one that had to be kept.
	unheardUntil atomic.Pointer[time.Time]
}

func newStreamOrigins(dir *directory.Directory, m *members, pool *rpcpool.Pool, marks *versionMarks, list *versionReads, set *metrics.Set, log logrus.FieldLogger) *streamOrigins {
	o := &streamOrigins{table: skew.NewOrigins(), dir: dir, members: m, pool: pool, marks: marks, list: list, marked: newMarkList(marks.store), set: set, log: log}
	o.archive = &originArchive{store: marks.store, key: prefixOrigins + m.self.Name, table: o.table, dir: dir, instances: m.count, log: log}
	set.NewGauge("martenport_stream_origins", func() float64 { return float64(o.table.Len()) })
	return o
}

// Limits of calls between instances about origins.
const (
	// originTimeout bounds a call. It is long enough for several round trips between failure domains, and short
	// compared with the time for which clients wait for an event.
	originTimeout = 300 * time.Millisecond
	// maxOriginQuestions bounds how often instances are asked for an origin while one of them does not answer.
	maxOriginQuestions = 3
	// originRetryPause is the shortest time between two questions.
	originRetryPause = 100 * time.Millisecond
	// maxOriginsSending bounds the origins that are sent at a time. More are pending only if other instances do not
	// answer; they are sent later.
	maxOriginsSending = 256
	// unheardTime is how long streams do not begin at a version that is held back after no instance kept the origin of one.
	unheardTime = time.Second
	// minKeepers is the number of instances that keep an origin if there are fewer failure domains.
	minKeepers = 2
)

// Intervals at which the list of instances is read, so that it is known while the store does not answer.
const (
	// firstMembersRead is the time in which instances that start together have registered.
	firstMembersRead = 5 * time.Second
	membersInterval  = time.Minute
)

// run keeps the list of instances current until ctx ends.
func (o *streamOrigins) run(ctx context.Context) {
	for wait := firstMembersRead; pause.For(ctx, wait); wait = membersInterval {
		o.members.list(ctx)
	}
}

// Versions implements forward.Origins.
func (o *streamOrigins) Versions(service string) (versions []string, certain bool) {
	return o.dir.Versions()[service], o.marks.certain() && o.archive.restored.Load()
}

// HoldsBack implements forward.Origins.
func (o *streamOrigins) HoldsBack(service, version string) bool {
	return o.marks.HoldsBack(service, version)
}

// mixed reports whether streams of a service's routes that can still be resumed may have begun at several versions.
func (o *streamOrigins) mixed(service string) bool {
	_, certain := o.Versions(service)
	return !certain || o.severalVersions(service)
}

// Record implements forward.Origins.
func (o *streamOrigins) Record(attempt string, origin skew.Origin) {
	if !o.mixed(origin.Service) {
		o.unsent.Add(skew.Entry{Attempt: attempt, Origin: origin}, clock.Now())
		return
	}
	o.table.Record(attempt, origin, clock.Now())
	o.startSending(attempt, origin, func() {})
}

// RecordKept implements forward.Origins.
func (o *streamOrigins) RecordKept(ctx context.Context, attempt string, origin skew.Origin) bool {
	o.table.Record(attempt, origin, clock.Now())
	candidates, _ := o.keepers(ctx, attempt)
	if len(candidates) == 0 {
		return true
	}
	kept := make(chan struct{})
	if o.startSending(attempt, origin, sync.OnceFunc(func() { close(kept) })) {
		timeout := time.NewTimer(originTimeout)
		defer timeout.Stop()
		select {
		case <-kept:
			return true
		case <-ctx.Done():
			return false
		case <-timeout.C:
		}
	}
	until := clock.Now().Add(unheardTime)
	o.unheardUntil.Store(&until)
	o.log.WithFields(logrus.Fields{"request": attempt, "service": origin.Service, "version": origin.Version}).Warn("no other instance knows where a stream began")
	return false
}

// MayGiveWay implements forward.Origins.
func (o *streamOrigins) MayGiveWay() bool {
	until := o.unheardUntil.Load()
	return until == nil || !clock.Now().Before(*until)
}

// startSending sends an origin in the background, unless too many are being sent. It calls kept when an instance keeps it.
func (o *streamOrigins) startSending(attempt string, origin skew.Origin, kept func()) bool {
	if o.sending.Add(1) > maxOriginsSending {
		o.sending.Add(-1)
		o.set.GetOrCreateCounter(`martenport_stream_origins_sent_total{outcome="postponed"}`).Inc()
		o.unkept.add(unkeptOrigin{skew.Entry{Attempt: attempt, Origin: origin}, clock.Now()})
		return false
	}
	go o.send(attempt, origin, kept)
	return true
}

// send sends an origin to the instances that keep it. It calls kept when one does; if none does it is sent again later.
func (o *streamOrigins) send(attempt string, origin skew.Origin, kept func()) {
	defer o.sending.Add(-1)
	args := &RecordOriginArgs{Attempt: attempt, Origin: origin}
	begunAt := clock.Now()
	candidates, copies := o.keepers(context.Background(), attempt)
	var domains sync.WaitGroup
	var anyKept atomic.Bool
	isKept := func() {
		anyKept.Store(true)
		kept()
	}
	for _, inDomain := range candidates {
		domains.Go(func() { o.sendWithin(inDomain, copies, args, isKept) })
	}
	domains.Wait()
	if len(candidates) > 0 && !anyKept.Load() {
		o.unkept.add(unkeptOrigin{skew.Entry{Attempt: attempt, Origin: origin}, begunAt})
	}
}

// sendWithin sends an origin to instances of a failure domain in turn, until the given number of them keep it. It calls kept
// when one does.
func (o *streamOrigins) sendWithin(candidates []string, copies int, args *RecordOriginArgs, kept func()) {
	for _, address := range candidates {
		if copies == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
		err := o.pool.Call(ctx, address, methodRecordOrigin, args, &RecordOriginReply{})
		cancel()
		outcome := "failed"
		if err == nil {
			outcome = "sent"
			copies--
			kept()
		}
		o.set.GetOrCreateCounter(`martenport_stream_origins_sent_total{outcome="` + outcome + `"}`).Inc()
	}
}

// Find implements forward.Origins. It asks all instances that keep the origin, also if this instance is certain of the
// versions: its list of servers may be older than a stream of a newer version that began elsewhere. It asks again if an
// instance does not answer, since streams whose origin is not known are refused.
func (o *streamOrigins) Find(ctx context.Context, attempt, service string) forward.OriginAnswer {
	arrived := clock.Exact()
	listed := false
	for n := 1; ; n++ {
		if origin, known := o.find(attempt); known {
			return forward.OriginAnswer{Origin: origin}
		}
		again := time.NewTimer(originRetryPause)
		asked := o.ask(ctx, &OriginArgs{Attempt: attempt, Service: service})
		if asked.origin.Version != "" {
			o.record(attempt, asked.origin, clock.Now())
			return forward.OriginAnswer{Origin: asked.origin}
		}
		if n == 1 && !asked.complete() {
			listed = o.listSince(ctx, arrived, service)
		}
		answer := o.conclude(asked, service, listed)
		if answer.OnlyVersion != "" && !o.confirmOnly(ctx, arrived, service, answer) {
			answer = forward.OriginAnswer{Listed: answer.Listed, Unanswered: true}
		}
		if answer.OnlyVersion != "" || asked.complete() || asked.instances == 0 || n >= maxOriginQuestions {
			return answer
		}
		select {
		case <-again.C:
		case <-ctx.Done():
			answer.Unanswered = true
			return answer
		}
	}
}

// conclude returns what follows from the answers about an origin that no instance knows. While an instance that may know the
// origin has not answered, only a list of servers that was read since the client asked tells of all versions.
func (o *streamOrigins) conclude(asked askedOrigin, service string, listed bool) forward.OriginAnswer {
	known, certain := o.Versions(service)
	var sure []string
	if asked.complete() {
		sure = asked.certain
	}
	if certain && (asked.complete() || listed) {
		sure = slices.Concat(sure, known)
	}
	only := onlyVersion(sure, slices.Concat(asked.certain, asked.reported, known))
	return forward.OriginAnswer{
		OnlyVersion: only,
		Listed:      listed,
		Unanswered:  !asked.complete() || !certain || len(known) == 0 || only == "" && len(known) == 1,
	}
}

// confirmOnly reports whether the service's mark names no other version than the one that instances take for the only one, but
// for those that have expired: the instance that relayed the first event may reach none of them, and streams begin at a version
// after it is marked. While the store does not answer in time, the answers of all that may know the origin count.
func (o *streamOrigins) confirmOnly(ctx context.Context, at time.Time, service string, answer forward.OriginAnswer) bool {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	marked, read := o.marked.since(ctx, at)
	if !read {
		return !answer.Listed
	}
	named := marked[service]
	return slices.Contains(named, answer.OnlyVersion) && !slices.ContainsFunc(named, func(v string) bool {
		return v != answer.OnlyVersion && !o.dir.VersionExpired(service, v)
	})
}

// listSince reads the list of servers, as of a time or later, if this instance is certain of one version of a service. It reports
// whether it is known now which versions there are.
func (o *streamOrigins) listSince(ctx context.Context, at time.Time, service string) bool {
	if known, certain := o.Versions(service); !certain || len(known) != 1 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxServerListWait)
	defer cancel()
	listed, ok := o.list.since(ctx, at)
	for service, versions := range listed {
		o.dir.ObserveVersions(service, versions, clock.Now())
	}
	return ok
}

// askedOrigin is what other instances know of an origin. If none knows it, answers of the instances answered, certain are the
// versions that one or more are certain of, and reported those that others know.
type askedOrigin struct {
	origin             skew.Origin
	instances, answers int
	certain, reported  []string
}

// complete reports whether there are other instances and all of them answered.
func (a askedOrigin) complete() bool { return a.answers >= max(1, a.instances) }

// ask asks the instances that keep an origin until one knows it, for originTimeout at most.
func (o *streamOrigins) ask(ctx context.Context, args *OriginArgs) askedOrigin {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	candidates, _ := o.keepers(ctx, args.Attempt)
	keepers := slices.Concat(candidates...)
	asked := askedOrigin{instances: len(keepers)}
	replies := make(chan *OriginReply, len(keepers))
	for _, address := range keepers {
		go func() {
			reply := &OriginReply{}
			if err := o.pool.Call(ctx, address, methodOrigin, args, reply); err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range keepers {
		reply := <-replies
		if reply == nil {
			continue
		}
		if reply.Known {
			return askedOrigin{origin: reply.Origin}
		}
		asked.answers++
		asked.reported = append(asked.reported, reply.Reported...)
		if reply.Marked {
			asked.certain = append(asked.certain, reply.Versions...)
		} else {
			asked.reported = append(asked.reported, reply.Versions...)
		}
	}
	return asked
}

// find returns the origin of a stream if this instance knows it.
func (o *streamOrigins) find(attempt string) (skew.Origin, bool) {
	if origin, known := o.table.Find(attempt, clock.Now()); known {
		return origin, true
	}
	return o.unsent.Find(attempt)
}

// onlyVersion returns the version at which all streams of a service began: the one that instances are certain of, if
// they agree and none knows another. It returns "" if there is none.
func onlyVersion(certain, known []string) string {
	all := slices.Concat(certain, known)
	if len(certain) == 0 || slices.ContainsFunc(all, func(v string) bool { return v != all[0] }) {
		return ""
	}
	return all[0]
}

// keepers returns, by failure domain, the addresses of the other instances that may keep the origin of an attempt, sorted
// by rank, and how many of a domain keep it. There is one more than that for the case that one is gone.
func (o *streamOrigins) keepers(ctx context.Context, attempt string) (candidates [][]string, copies int) {
	domains := map[string][]member{}
	for _, m := range o.members.cached(ctx) {
		if m.Name != o.members.self.Name {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	copies = 1
	if len(domains) < minKeepers {
		copies = minKeepers
	}
	for _, inDomain := range domains {
		rendezvous.Rank(attempt, inDomain, func(m member) string { return m.Name })
		var addresses []string
		for _, m := range inDomain[:min(copies+1, len(inDomain))] {
			addresses = append(addresses, m.Address)
		}
		candidates = append(candidates, addresses)
	}
	return candidates, copies
}

// keep records an origin that this instance keeps for another one.
func (o *streamOrigins) keep(e skew.Entry, now time.Time) {
	o.record(e.Attempt, e.Origin, now)
	o.archive.window.Add(e, now)
}

// record records an origin that another instance reported, and its version, of which no server may be known here yet.
func (o *streamOrigins) record(attempt string, origin skew.Origin, now time.Time) {
	o.table.Record(attempt, origin, now)
	if !slices.Contains(o.dir.Versions()[origin.Service], origin.Version) {
		o.dir.ObserveVersions(origin.Service, []string{origin.Version}, now)
	}
}

// answer returns what this instance knows of an origin.
func (o *streamOrigins) answer(args *OriginArgs) OriginReply {
	if origin, known := o.find(args.Attempt); known {
		return OriginReply{Known: true, Origin: origin}
	}
	versions, certain := o.Versions(args.Service)
	if !certain {
		return OriginReply{Reported: versions}
	}
	return OriginReply{Versions: versions, Marked: true}
}
