package forward

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// Access authorizes requests by their keys and enforces the limits of workspaces.
type Access interface {
	// Current returns the configuration in force, nil before there is one, and how current it is
	// known to be.
	Current() (*serving.Config, access.Freshness)
	// Policy returns for how long knowledge about keys is relied on.
	Policy() access.Policy
	// Draw deducts the cost of a request from the limit of its workspace. refund must be called if
	// the request did not reach a server. A failure states why the request may not run.
	Draw(ctx context.Context, w *serving.Workspace, d quota.Draw) (refund func(), failure *verdict.Failure)
}

// admission is the result of authorizing a request, together with the configuration it was
// authorized by.
type admission struct {
	config *serving.Config
	// freshness is how current config is known to be.
	freshness access.Freshness
	// route carries the priority of the workspace, if the workspace has one.
	route *serving.Route
	// workspace is nil if the request needs no key or its key is unknown.
	workspace *serving.Workspace
	// refund returns what was drawn from the limit of the workspace.
	refund func()
}

// admit decides by the key and the limit of its workspace whether a request for a route may run.
func (f *Forwarder) admit(ctx context.Context, a admission, r *serving.Request) (admission, *verdict.Failure) {
	a.refund = func() {}
	workspace, failure := access.Authorize(a.config, a.route, r.Credential, a.freshness, f.access.Policy())
	if failure != nil || workspace == nil {
		return a, failure
	}
	a.workspace, a.route = workspace, withWorkspacePriority(a.route, workspace)
	r.Fingerprint = r.Fingerprint.InWorkspace(workspace.Name)
	cost, err := workspace.Limit.Cost(r)
	if err != nil && workspace.Limit.Limited() {
		return a, verdict.Refuse(verdict.ReasonInvalid, "%v", err)
	}
	a.refund, failure = f.access.Draw(ctx, workspace, drawFor(a.route, r, cost))
	return a, failure
}

// withWorkspacePriority returns the route with the priority of the workspace, if that has one.
func withWorkspacePriority(route *serving.Route, w *serving.Workspace) *serving.Route {
	if !w.HasPriority || w.Priority == route.Priority {
		return route
	}
	prioritized := *route
	prioritized.Priority = w.Priority
	return &prioritized
}

// recordRejection logs and counts a request that may not run.
func (f *Forwarder) recordRejection(a admission, r *serving.Request, failure *verdict.Failure) *verdict.Failure {
	f.counts.requestEnded(failure, 0)
	if !f.refusals.allow(refusalKind{reason: failure.Reason, priority: a.route.Priority}) {
		return failure
	}
	fields := logrus.Fields{
		"request": r.ID, "fingerprint": r.Fingerprint, "route": a.route.Name, "config": a.config.Version, "config_age_ms": a.freshness.Age.Milliseconds(), "verdict": failure.Verdict,
		"reason": failure.Reason, "retry_after_ms": failure.RetryAfter.Milliseconds(), "ms": 0, "priority": a.route.Priority,
	}
	if name := a.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	f.log.WithFields(fields).Info("request not answered: " + failure.Detail)
	return failure
}

// workspaceName returns the name of the workspace, or "" if there is none.
func (a admission) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}
