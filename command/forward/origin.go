package forward

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Origins knows at which software version the streams began that clients take up.
type Origins interface {
	// Mixed reports whether streams of a service that can still be taken up may have begun at several versions. It is
	// false only if that is certain.
	Mixed(service string) bool
	// Record records that an attempt brings the first event of a stream. It does not wait.
	Record(attempt string, origin skew.Origin)
	// Find returns the origin of a stream of a service by the attempt that brought its first event.
	Find(ctx context.Context, attempt, service string) OriginAnswer
}

// OriginAnswer is what is known of a stream's origin.
type OriginAnswer struct {
	// Origin is the zero value if it is not known.
	Origin skew.Origin
	// OneVersion is set if another instance is certain that all streams of the service began at one version.
	OneVersion bool
	// Unanswered is set if an instance that may know the origin did not answer, or if this one is not certain yet
	// whether the service has several versions.
	Unanswered bool
}

// binding is the service that a request is sent to, and the software version that its stream is bound to, "" for none.
type binding struct {
	service serving.Service
	version string
}

// bind chooses the service of a request. A stream that a client takes up is bound to the version that began it, and
// refused if that is not known.
func (f *Forwarder) bind(ctx context.Context, a admission, r *serving.Request) (binding, *verdict.Failure) {
	b := binding{service: a.config.Services[chooseTarget(a.route.Targets)]}
	if f.origins == nil || r.LastEventID == "" || a.route.Kind != serving.Streaming {
		return b, nil
	}
	if !f.mixed(a.route) {
		f.recordTakeUp(r, b, "not_mixed")
		return b, nil
	}
	answer := f.findOrigin(ctx, r, b.service.Name)
	outcome := "not_known"
	switch origin := answer.Origin; {
	case origin.Version != "" && slices.ContainsFunc(a.route.Targets, func(t serving.Target) bool { return t.Service == origin.Service }):
		outcome = "bound"
		b = binding{service: a.config.Services[origin.Service], version: origin.Version}
	case origin.Version != "":
		outcome = "other_service"
	case answer.OneVersion:
		outcome = "one_version"
	}
	f.recordTakeUp(r, b, outcome)
	if outcome != "not_known" {
		return b, nil
	}
	failure := verdict.Refuse(verdict.ReasonVersion, "it is not known which software version began the stream of attempt %q", r.Resumes)
	if answer.Unanswered {
		failure = failure.WithRetryAfter(noServerRetryAfter)
	}
	return b, failure
}

// recordTakeUp logs and counts a stream that a client takes up, by what is known of its origin.
func (f *Forwarder) recordTakeUp(r *serving.Request, b binding, outcome string) {
	f.counts.streamTakenUp(outcome)
	f.log.WithFields(logrus.Fields{
		"request": r.ID, "resumes": r.Resumes, "after": r.LastEventID, "service": b.service.Name, "version": b.version, "outcome": outcome,
	}).Info("client takes a stream up")
}

// mixed reports whether streams of one of the route's services may have begun at several versions.
func (f *Forwarder) mixed(route *serving.Route) bool {
	return slices.ContainsFunc(route.Targets, func(t serving.Target) bool { return f.origins.Mixed(t.Service) })
}

// findOrigin returns what is known of the origin of the stream that a client takes up.
func (f *Forwarder) findOrigin(ctx context.Context, r *serving.Request, service string) OriginAnswer {
	if r.Resumes == "" {
		return OriginAnswer{}
	}
	return f.origins.Find(ctx, r.Resumes, service)
}

// recordOrigin records where the stream begins, for clients that take it up later.
func (t *transaction) recordOrigin() {
	if t.f.origins == nil || !t.route.Resumable {
		return
	}
	t.f.origins.Record(t.request.ID, skew.Origin{Service: t.service.Name, Version: t.version})
}
