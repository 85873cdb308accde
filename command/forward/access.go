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

// admission is a request's leave to run, or what it was refused by.
type admission struct {
	config *serving.Config
	known  access.Knowledge
	// route has the rank of the workspace, if that has one.
	route *serving.Route
	// workspace is nil where the request needs no key, or has none that is known.
	workspace *serving.Workspace
	giveBack  func()
}

// admit decides whether a request for a route may run, by its key and the limit of its
// workspace.
func (f *Forwarder) admit(ctx context.Context, a admission, r *serving.Request) (admission, *verdict.Failure) {
	a.giveBack = func() {}
	workspace, failure := access.Decide(a.config, a.route, r.Credential, a.known, f.access.Policy())
	if failure != nil || workspace == nil {
		return a, failure
	}
	a.workspace, a.route = workspace, ranked(a.route, workspace)
	cost, err := workspace.Limit.Cost(r)
	if err != nil && workspace.Limit.Limited() {
		return a, verdict.Refuse(verdict.ReasonInvalid, "%v", err)
	}
	a.giveBack, failure = f.access.Draw(ctx, workspace, cost)
	return a, failure
}

// ranked returns the route with the rank that the workspace's requests have.
func ranked(route *serving.Route, w *serving.Workspace) *serving.Route {
	if !w.Ranked || w.Priority == route.Priority {
		return route
	}
	ranked := *route
	ranked.Priority = w.Priority
	return &ranked
}

// notAdmitted logs and counts a request that may not run.
func (f *Forwarder) notAdmitted(a admission, r *serving.Request, failure *verdict.Failure) *verdict.Failure {
	f.counts.end(failure, 0)
	fields := logrus.Fields{
		"request": r.ID, "route": a.route.Name, "config": a.config.Version, "config_age_ms": a.known.Age.Milliseconds(), "verdict": failure.Verdict,
		"reason": failure.Reason, "retry_after_ms": failure.RetryAfter.Milliseconds(), "ms": 0, "priority": a.route.Priority,
	}
	if name := a.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	f.log.WithFields(fields).Info("request not answered: " + failure.Detail)
	return failure
}

// workspaceName returns "" if there is no workspace.
func (a admission) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}
