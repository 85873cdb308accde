package forward

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Origins knows at which software version the streams began that clients resume.
type Origins interface {
	// Versions returns the versions at which streams of a service may have begun that can still be resumed. certain is
	// set if there are certainly no others.
	Versions(service string) (versions []string, certain bool)
	// HoldsBack reports whether streams should not begin at a version of a service yet.
	HoldsBack(service, version string) bool
	// MayGiveWay reports whether streams that can begin at no other version may begin at one that is held back. They may not
	// while other instances do not hear of it.
	MayGiveWay() bool
	// RecordKept is Record for a version that is held back. It waits until another instance keeps the origin, and reports
	// whether one does, or there is none.
	RecordKept(ctx context.Context, attempt string, origin skew.Origin) bool
	// Record records that an attempt brings the first event of a stream. It does not wait.
	Record(attempt string, origin skew.Origin)
	// Find returns the origin of a stream of a service by the attempt that brought its first event.
	Find(ctx context.Context, attempt, service string) OriginAnswer
}

// OriginAnswer is what is known of a stream's origin.
type OriginAnswer struct {
	// Origin is the zero value if it is not known.
	Origin skew.Origin
	// OnlyVersion is the version at which all streams of the service began: an instance is certain of it, and none that
	// answered knows another one; "" if there is none.
	OnlyVersion string
	// Listed is set if the list of servers was read anew to tell that, since an instance did not answer.
	Listed bool
	// Unanswered is set if an instance that may know the origin did not answer, or if this one is not certain yet
	// whether the service has several versions, or took one for the only one that is not.
	Unanswered bool
}

// binding is the service that a request is sent to, and the software version that its stream is bound to: "" for a stream
// that begins, or goes on at another service for the first time.
type binding struct {
	service serving.Service
	version string
	// continued is the ID under which it is recorded at which version a stream goes on that began at another service; ""
	// for others.
	continued string
}

// bind chooses the service of a request. A stream that a client resumes is bound to the version that began it, and
// refused if that is not known: servers of another version may appear at any time until it is sent.
func (f *Forwarder) bind(ctx context.Context, a admission, r *serving.Request) (binding, *verdict.Failure) {
	b := binding{service: a.config.Services[chooseTarget(a.route.Targets)]}
	if f.origins == nil || r.LastEventID == "" || a.route.Kind != serving.Streaming {
		return b, nil
	}
	only := f.onlyVersion(a.route, b.service.Name)
	answer := f.findOrigin(ctx, a.route, r, b.service.Name, only != "")
	outcome := "not_known"
	switch origin := answer.Origin; {
	case origin.Version != "" && leadsTo(a.route, origin.Service):
		outcome = "bound"
		b = binding{service: a.config.Services[origin.Service], version: origin.Version}
	case origin.Version != "":
		b, answer = f.bindElsewhere(ctx, r, b)
		if b.version != "" || !answer.Unanswered {
			outcome = "other_service"
		}
	case answer.OnlyVersion == "", f.mixed(a.route):
	case answer.OnlyVersion == only:
		outcome = "not_mixed"
		b.version = only
	default:
		outcome = "one_version"
		b.version = answer.OnlyVersion
	}
	f.recordResumption(r, b, outcome, answer)
	if outcome != "not_known" {
		return b, nil
	}
	failure := verdict.Refuse(verdict.ReasonVersion, "it is not known which software version began the stream of attempt %q", r.Resumes)
	if answer.Unanswered {
		failure = failure.WithRetryAfter(noServerRetryAfter)
	}
	return b, failure
}

// bindElsewhere binds a stream to the version at which it has gone on at another service than it began at, which a changed
// route leads to. answer is what is known of that; if the stream has not gone on there yet, any version may begin to.
func (f *Forwarder) bindElsewhere(ctx context.Context, r *serving.Request, b binding) (binding, OriginAnswer) {
	b.continued = continuedID(r.Resumes, b.service.Name)
	answer := f.origins.Find(ctx, b.continued, b.service.Name)
	b.version = cmp.Or(answer.Origin.Version, answer.OnlyVersion)
	return b, answer
}

// continuedID returns the ID under which it is recorded how a stream goes on at another service than it began at. It is
// short enough to be recorded, whatever the attempt's ID.
func continuedID(attempt, service string) string {
	sum := sha256.Sum256([]byte(attempt + "\x00" + service))
	return hex.EncodeToString(sum[:16])
}

// onlyVersion returns the software version of a service at which all streams of a route began as far as this instance
// knows; "" if there may be several versions at one of the route's services, or none is known.
func (f *Forwarder) onlyVersion(route *serving.Route, service string) string {
	versions, _ := f.origins.Versions(service)
	if len(versions) == 0 || f.mixed(route) || slices.ContainsFunc(route.Targets, func(t serving.Target) bool { return !f.certain(t) }) {
		return ""
	}
	return versions[0]
}

// mixed reports whether one of a route's services is known to have several versions.
func (f *Forwarder) mixed(route *serving.Route) bool {
	return slices.ContainsFunc(route.Targets, func(t serving.Target) bool {
		versions, _ := f.origins.Versions(t.Service)
		return len(versions) > 1
	})
}

// certain reports whether all versions of a service are known.
func (f *Forwarder) certain(t serving.Target) bool {
	_, certain := f.origins.Versions(t.Service)
	return certain
}

// leadsTo reports whether a service is among the targets of a route.
func leadsTo(route *serving.Route, service string) bool {
	return slices.ContainsFunc(route.Targets, func(t serving.Target) bool { return t.Service == service })
}

// recordResumption logs and counts a stream that a client resumes, by what is known of its origin.
func (f *Forwarder) recordResumption(r *serving.Request, b binding, outcome string, answer OriginAnswer) {
	f.counts.streamResumed(outcome)
	f.log.WithFields(logrus.Fields{
		"request": r.ID, "resumes": r.Resumes, "after": r.LastEventID, "service": b.service.Name, "version": b.version, "outcome": outcome,
		"listed": answer.Listed, "unanswered": answer.Unanswered,
	}).Info("client takes a stream up")
}

// findOrigin returns what is known of the origin of the stream that a client resumes, in time for it to run. If the client
// does not name the attempt that began it, that is at most the only version of the service.
func (f *Forwarder) findOrigin(ctx context.Context, route *serving.Route, r *serving.Request, service string, oneVersion bool) OriginAnswer {
	if r.Resumes == "" && !oneVersion {
		return OriginAnswer{}
	}
	left := clock.Until(r.Arrived.Add(allowedTime(route, r)))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(returnFraction*float64(left)))
	defer cancel()
	return f.origins.Find(ctx, r.Resumes, service)
}

// recordOrigin records where the stream begins, for clients that resume it later. A stream at a version that instances may
// not know yet begins only if another one knows its origin.
func (t *transaction) recordOrigin(ctx context.Context) *verdict.Failure {
	if t.f.origins == nil || !t.route.Resumable {
		return nil
	}
	origin := skew.Origin{Service: t.service.Name, Version: t.version}
	if !t.f.origins.HoldsBack(t.service.Name, t.version) {
		t.f.origins.Record(t.request.ID, origin)
		return nil
	}
	if t.f.origins.RecordKept(ctx, t.request.ID, origin) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBroken, "no other instance knows that the stream begins at software version %s", t.version)
}

// recordContinued records at which version the stream goes on if it began at another service.
func (t *transaction) recordContinued() {
	if t.continued != "" {
		t.f.origins.Record(t.continued, skew.Origin{Service: t.service.Name, Version: t.version})
	}
}
