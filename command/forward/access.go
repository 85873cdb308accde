package forward

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Access says who may ask, and how much.
type Access interface {
	// Current returns the configuration in force, nil before the first, and how current it is
	// known to be.
	Current() (*serving.Config, access.Knowledge)
	// Policy is how long what is known of keys is relied on.
	Policy() access.Policy
	// Draw takes what a request costs from the limit of its workspace. giveBack is called if
	// the request did not reach a server. A failure says why it may not run.
	Draw(ctx context.Context, w *serving.Workspace, cost float64) (giveBack func(), failure *verdict.Failure)
}

// admission is a request's leave to run.
type admission struct {
	// workspace is nil where the request needs no key.
	workspace *serving.Workspace
	giveBack  func()
}

// admit decides whether a request may run, by its key and the limit of its workspace.
func (f *Forwarder) admit(ctx context.Context, config *serving.Config, known access.Knowledge, route *serving.Route, r *serving.Request) (admission, *verdict.Failure) {
	workspace, failure := access.Decide(config, route, r.Credential, known, f.access.Policy())
	if failure != nil || workspace == nil {
		return admission{giveBack: func() {}}, failure
	}
	cost, err := workspace.Limit.Cost(r)
	if err != nil && workspace.Limit.Limited() {
		return admission{}, verdict.Refuse(verdict.ReasonInvalid, "%v", err)
	}
	giveBack, failure := f.access.Draw(ctx, workspace, cost)
	return admission{workspace, giveBack}, failure
}

// notAdmitted logs and counts a request that may not run.
func (f *Forwarder) notAdmitted(r *serving.Request, config *serving.Config, route *serving.Route, known access.Knowledge, a admission, failure *verdict.Failure) *verdict.Failure {
	f.counts.end(failure, 0)
	fields := logrus.Fields{
		"request": r.ID, "route": route.Name, "config": config.Version, "config_age_ms": known.Age.Milliseconds(), "verdict": failure.Verdict,
		"reason": failure.Reason, "retry_after_ms": failure.RetryAfter.Milliseconds(), "ms": 0, "priority": a.ranked(route).Priority,
	}
	if a.workspace != nil {
		fields["workspace"] = a.workspace.Name
	}
	f.log.WithFields(fields).Info("request not answered: " + failure.Detail)
	return failure
}

// ranked returns the route with the rank that the workspace's requests have.
func (a admission) ranked(route *serving.Route) *serving.Route {
	if a.workspace == nil || !a.workspace.Ranked || a.workspace.Priority == route.Priority {
		return route
	}
	ranked := *route
	ranked.Priority = a.workspace.Priority
	return &ranked
}

// name of the workspace, "" if there is none.
func (a admission) name() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}
