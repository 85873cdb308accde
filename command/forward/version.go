package forward

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Servers of several software versions may serve side by side. What two versions write does not fit together, and
// servers do not check it: once a client has the first event of a stream, the stream goes on only at servers of the
// version that wrote it.

// pinVersion binds the stream to the version of the server whose first event is about to be relayed. A server may start
// again under its ID with other software; if it did since the request was sent, it is not known which version wrote the
// event, as it is if another process may have answered. The rest of a stream is dropped then, and a stream that begins is
// relayed but not continued.
func (t *transaction) pinVersion(ctx context.Context, resp *serving.Response) *verdict.Failure {
	if t.versionPinned {
		return nil
	}
	t.versionPinned = true
	processUnknown := resp.ProcessUnknown && (resp.ConfirmProcess == nil || !resp.ConfirmProcess())
	if s, known := t.f.dir.Server(t.server); processUnknown || known && s.Version != t.serverVersion {
		t.f.counts.serverReplaced(t.service.Name)
		dropped := t.version != "" && t.route.MayRepeat()
		t.logReplaced(s, processUnknown, dropped)
		if dropped {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBackend, "server %s may have been replaced by one of another version than %s", t.server, t.serverVersion)
		}
		t.version, t.versionUnknown = "", true
		t.refuseContinuations()
		return nil
	}
	if t.version == "" || t.originUnheard {
		t.version = t.serverVersion
		if failure := t.recordOrigin(ctx); failure != nil {
			t.originUnheard = true // it may arrive late, so the stream begins at this version or not at all
			return failure
		}
		t.originUnheard = false
	}
	t.recordContinued()
	return nil
}

// logReplaced logs that the first event of a server may come from another process than the request was sent to. found is
// the server as it is known now.
func (t *transaction) logReplaced(found serving.Server, processUnknown, dropped bool) {
	outcome := "not_continued"
	if dropped {
		outcome = "dropped"
	}
	t.f.log.WithFields(t.logFields()).WithFields(logrus.Fields{
		"server": t.server, "found_version": found.Version, "found_born": found.Born, "process_unknown": processUnknown,
		"sent_ms": clock.Since(t.sentAt).Milliseconds(), "outcome": outcome,
	}).Info("server may have been replaced since the request was sent")
}

// refuseContinuations makes a stream that must not be repeated end if it breaks off.
func (t *transaction) refuseContinuations() {
	if t.onlyRun != nil {
		t.onlyRun.stream.Refuse()
	}
}

// fitsVersion reports whether the request may be sent to a server, given the version that its stream is bound to.
func (t *transaction) fitsVersion(s serving.Server) bool {
	return !t.versionUnknown && (t.version == "" || s.Version == t.version)
}

// withoutHeldBack drops the servers whose version is held back from a stream that begins, unless it can begin at no other and
// may begin there. ready reports whether it could begin at a server now.
func withoutHeldBack[S any](t *transaction, list []S, server func(S) (s serving.Server, ready bool)) []S {
	if t.bound() || t.f.origins == nil || !t.route.Resumable {
		return list
	}
	heldBack := func(s S) bool {
		found, _ := server(s)
		return t.f.origins.HoldsBack(t.service.Name, found.Version)
	}
	if t.f.origins.MayGiveWay() && !slices.ContainsFunc(list, func(s S) bool {
		found, ready := server(s)
		return ready && !t.excluded[found.ID] && !heldBack(s)
	}) {
		return list
	}
	return slices.DeleteFunc(list, heldBack)
}

// bound reports whether only servers of one version may continue the stream, or none.
func (t *transaction) bound() bool { return t.version != "" || t.versionUnknown }

// versionName names the version that the stream is bound to in messages.
func (t *transaction) versionName() string {
	if t.versionUnknown {
		return "(not known)"
	}
	return t.version
}

// versionFailure returns the failure of a stream that cannot go on because no server of its version is left, and nil if
// there is one, or if the stream has not begun.
func (t *transaction) versionFailure() *verdict.Failure {
	if !t.bound() || slices.ContainsFunc(t.f.dir.Servers(t.service.Name), t.fitsVersion) {
		return nil
	}
	if t.last != nil {
		return t.lastFailure("no server of software version " + t.versionName() + " is left")
	}
	return verdict.Refuse(verdict.ReasonVersion, "no server of software version %s, which began the stream, is left of %s", t.versionName(), t.service.Name).
		WithRetryAfter(noServerRetryAfter)
}

// noReplicaOfVersion returns the failure of a stream that cannot go on because no server of its version has the unit.
func (t *transaction) noReplicaOfVersion() *verdict.Failure {
	if t.last != nil {
		return t.lastFailure("no server of software version " + t.versionName() + " has " + t.request.Unit.String())
	}
	return verdict.Refuse(verdict.ReasonVersion, "no server of software version %s, which began the stream, has %s", t.versionName(), t.request.Unit).
		WithRetryAfter(noServerRetryAfter)
}

// replicas returns the replicas of the request's unit on servers that it may be sent to because of their version.
func (t *transaction) replicas(now time.Time) []directory.Replica {
	found := t.f.dir.Replicas(t.service.Name, t.request.Unit, now)
	if !t.bound() {
		return withoutHeldBack(t, found, func(r directory.Replica) (serving.Server, bool) { return r.Server, r.Ready.IsZero() })
	}
	return slices.DeleteFunc(found, func(r directory.Replica) bool { return !t.fitsVersion(r.Server) })
}
