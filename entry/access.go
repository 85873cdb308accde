package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/access"
	"github.com/martenport/martenport/command/quota"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/serving"
	"github.com/martenport/martenport/verdict"
)

// accessControl decides for the forwarder which keys are accepted and how much a workspace may use. It
// implements forward.Access.
type accessControl struct {
	*follower
	settings func() *platform.Settings
	set      *metrics.Set
}

func newAccessControl(f *follower, settings func() *platform.Settings, set *metrics.Set) *accessControl {
	g := &accessControl{follower: f, settings: settings, set: set}
	set.NewGauge("martenport_configuration_age_seconds", func() float64 {
		_, known := g.Current()
		return known.Age.Seconds()
	})
	set.NewGauge("martenport_keys_trusted", func() float64 {
		if config, known := g.Current(); g.keysTrusted(config, known) {
			return 1
		}
		return 0
	})
	return g
}

// keysTrusted reports whether requests that need a key are served. It is true if the configuration
// requires no keys.
func (g *accessControl) keysTrusted(config *serving.Config, known access.Freshness) bool {
	return config == nil || !config.KeysRequired() || g.Policy().KeysTrusted(known.Age)
}

// trustCheckInterval is how often run checks, for the log, whether keys are relied on.
const trustCheckInterval = 200 * time.Millisecond

// run logs when keys stop or start being relied on, until ctx ends.
func (g *accessControl) run(ctx context.Context) {
	wasTrusted := true
	for pause.For(ctx, trustCheckInterval) {
		config, known := g.Current()
		trusted := g.keysTrusted(config, known)
		if trusted == wasTrusted {
			continue
		}
		wasTrusted = trusted
		log := g.log.WithFields(logrus.Fields{"config": config.Version, "config_age_ms": known.Age.Milliseconds(), "trusted_ms": g.Policy().MaxAge().Milliseconds(), "holder_answers": known.HolderReachable})
		if wasTrusted {
			log.Info("keys are relied on again")
		} else {
			log.Warn("keys are not relied on any more: requests that need one are refused")
		}
	}
}

// Current implements forward.Access.
func (g *accessControl) Current() (*serving.Config, access.Freshness) {
	now := clock.Exact()
	config, confirmedAt := g.dir.Current()
	return config, access.Freshness{Age: now.Sub(confirmedAt), NewerExists: g.watcher.newerConfigKnown(), HolderReachable: g.holderResponds(now)}
}

// Policy implements forward.Access.
func (g *accessControl) Policy() access.Policy {
	s := g.settings()
	return access.Policy{FailClosed: s.Bounds.RevokeFailClosed, Bound: s.RevokeBound(), PropagationBound: s.ConfigApplyBound()}
}

// holderResponds reports whether the holder has answered within holderTimeout.
func (f *follower) holderResponds(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder != "" && now.Sub(f.lastAnswer) < holderTimeout
}

// Time limits for requests to the holder about a single client request.
const (
	// drawTimeout bounds one request to the holder: several round trips between failure domains. It is
	// shorter than the time in flight that the bound on the quota allows for.
	drawTimeout = 300 * time.Millisecond
	// holderUnavailableRetryAfter is the Retry-After for clients while the holder cannot be reached:
	// other instances may have quota left.
	holderUnavailableRetryAfter = 200 * time.Millisecond
	// minOverLimitRetryAfter is the least Retry-After for clients over their limit.
	minOverLimitRetryAfter = 50 * time.Millisecond
)

// Draw implements forward.Access.
func (g *accessControl) Draw(ctx context.Context, w *serving.Workspace, d quota.Draw) (release func(), failure *verdict.Failure) {
	if !w.Limit.Limited() {
		return func() {}, nil
	}
	now := clock.Exact()
	release = func() { g.shares.Refund(w.Name, d.Cost, now, clock.Exact()) }
	if g.shares.Take(w.Name, d.Cost, now) {
		return release, nil
	}
	answer, err := g.requestDraw(ctx, w.Name, d)
	g.countAnswer(answer)
	switch {
	case err != nil || !answer.Known:
		return nil, verdict.Refuse(verdict.ReasonPlatform, "the share of workspace %s is used up, and no holder says whether there is more", w.Name).WithRetryAfter(holderUnavailableRetryAfter)
	case !answer.Granted:
		return nil, g.overLimit(w, d.Cost, answer)
	}
	return release, nil
}

// countAnswer increments the metric for the outcome of a request to the holder.
func (g *accessControl) countAnswer(a quota.Answer) {
	outcome := "unknown"
	switch {
	case a.Granted:
		outcome = "granted"
	case a.Known:
		outcome = "refused"
	}
	g.set.GetOrCreateCounter(`martenport_limit_questions_total{answer="` + outcome + `"}`).Inc()
}

// overLimit returns the refusal of a request that exceeds its workspace's limit, with the time at which
// the limit will suffice as its Retry-After if it ever will.
func (g *accessControl) overLimit(w *serving.Workspace, cost float64, answer quota.Answer) *verdict.Failure {
	g.shares.RecordRefusal(w.Name, cost, clock.Now())
	failure := verdict.Refuse(verdict.ReasonOverLimit, "workspace %s asks for more than its limit", w.Name)
	if answer.Place > 0 {
		failure.Detail += fmt.Sprintf(", place %d in its queue is kept", answer.Place)
	}
	if answer.After <= 0 {
		return failure
	}
	g.countPlace(answer.Place > 0)
	return failure.WithRetryAfter(max(minOverLimitRetryAfter, answer.After))
}

// countPlace increments the metric of requests that were told when to return: with a place kept for them,
// or without one.
func (g *accessControl) countPlace(booked bool) {
	name := `martenport_limit_returns_total{place="none"}`
	if booked {
		name = `martenport_limit_returns_total{place="booked"}`
	}
	g.set.GetOrCreateCounter(name).Inc()
}

// queryLimits asks the holder for the usage of the workspaces' limits.
func (f *follower) queryLimits(ctx context.Context) ([]quota.Total, error) {
	f.mu.Lock()
	record := f.record
	f.mu.Unlock()
	var reply LimitsReply
	if err := f.call(ctx, record, callTimeout, methodLimits, &LimitsArgs{}, &reply); err != nil {
		return nil, err
	}
	if !reply.Held {
		return nil, errors.New("entry: instance is not the lease holder")
	}
	return reply.Totals, nil
}

// requestDraw asks the holder to admit one request.
func (f *follower) requestDraw(ctx context.Context, workspace string, d quota.Draw) (quota.Answer, error) {
	var reply DrawReply
	args := &DrawArgs{Workspace: workspace, Cost: d.Cost, Request: d.Request, Class: d.Class, Within: d.Within, Left: d.Left}
	if err := f.callWithinDrawTimeout(ctx, methodDraw, args, &reply); err != nil {
		return quota.Answer{}, err // the reply may still arrive
	}
	return reply.Answer, nil
}

// callWithinDrawTimeout calls the holder and returns an error if the answer arrives later than
// drawTimeout.
func (f *follower) callWithinDrawTimeout(ctx context.Context, method string, args, reply any) error {
	record, live := f.liveHolder()
	if !live {
		return errors.New("entry: lease holder unreachable")
	}
	start := clock.Exact()
	err := f.call(ctx, record, drawTimeout, method, args, reply)
	if elapsed := clock.Exact().Sub(start); err == nil && elapsed > drawTimeout {
		// Timers do not advance while the machine is suspended.
		return errors.Newf("entry: answer of the lease holder came too late, after %s", elapsed)
	}
	return err
}
