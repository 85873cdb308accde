package entry

import (
	"context"
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

// gate is what the forwarder asks of who may ask, and how much. It implements forward.Access.
type gate struct {
	*follower
	settings func() *platform.Settings
	set      *metrics.Set
}

func newGate(f *follower, settings func() *platform.Settings, set *metrics.Set) *gate {
	g := &gate{follower: f, settings: settings, set: set}
	set.NewGauge("martenport_configuration_age_seconds", func() float64 {
		_, known := g.Current()
		return known.Age.Seconds()
	})
	set.NewGauge("martenport_keys_trusted", func() float64 {
		if config, known := g.Current(); g.trusts(config, known) {
			return 1
		}
		return 0
	})
	return g
}

// trusts reports whether requests that need a key are served; it is true where none does.
func (g *gate) trusts(config *serving.Config, known access.Knowledge) bool {
	return config == nil || !config.Guarded() || g.Policy().Trusts(known.Age)
}

// trustInterval is how often it is looked whether keys are relied on, for the log.
const trustInterval = 200 * time.Millisecond

// run logs when keys are not relied on any more, and when they are again, until ctx ends.
func (g *gate) run(ctx context.Context) {
	trusted := true
	for pause.For(ctx, trustInterval) {
		config, known := g.Current()
		now := g.trusts(config, known)
		if now == trusted {
			continue
		}
		trusted = now
		log := g.log.WithFields(logrus.Fields{"config": config.Version, "config_age_ms": known.Age.Milliseconds(), "trusted_ms": g.Policy().Trusted().Milliseconds(), "holder_answers": known.Reached})
		if trusted {
			log.Info("keys are relied on again")
		} else {
			log.Warn("keys are not relied on any more: requests that need one are refused")
		}
	}
}

// Current implements forward.Access.
func (g *gate) Current() (*serving.Config, access.Knowledge) {
	now := clock.Exact()
	config, asOf := g.dir.Current()
	return config, access.Knowledge{Age: now.Sub(asOf), Newer: g.watcher.lacksConfig(), Reached: g.holderAnswers(now)}
}

// Policy implements forward.Access.
func (g *gate) Policy() access.Policy {
	s := g.settings()
	return access.Policy{FailClosed: s.Bounds.RevokeFailClosed, Bound: s.RevokeBound(), InForce: s.ConfigurationBound()}
}

// holderAnswers reports whether the holder has answered of late.
func (f *follower) holderAnswers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Holder != "" && now.Sub(f.answered) < silentAfter
}

// Times of questions for single requests.
const (
	// drawTimeout bounds one question: several round trips between failure domains. It is
	// within what the bound of quota allows to be on its way.
	drawTimeout = 300 * time.Millisecond
	// unansweredRetry is told to clients while the holder cannot be asked: other instances may
	// have a share that is left.
	unansweredRetry = 200 * time.Millisecond
	// leastOverRetry is the least time after which a client that goes beyond its limit is told
	// to come back.
	leastOverRetry = 50 * time.Millisecond
)

// Draw implements forward.Access.
func (g *gate) Draw(ctx context.Context, w *serving.Workspace, cost float64) (giveBack func(), failure *verdict.Failure) {
	if !w.Limit.Limited() {
		return func() {}, nil
	}
	now := clock.Exact()
	giveBack = func() { g.shares.GiveBack(w.Name, cost, now, clock.Exact()) }
	if g.shares.Take(w.Name, cost, now) {
		return giveBack, nil
	}
	answer, err := g.draw(ctx, w.Name, cost)
	g.count(answer)
	switch {
	case err != nil || !answer.Known:
		return nil, verdict.Refuse(verdict.ReasonPlatform, "the share of workspace %s is used up, and no holder says whether there is more", w.Name).After(unansweredRetry)
	case !answer.Granted:
		return nil, g.overLimit(w, cost, answer.After)
	}
	return giveBack, nil
}

// count counts a question by its answer.
func (g *gate) count(a quota.Answer) {
	outcome := "unknown"
	switch {
	case a.Granted:
		outcome = "granted"
	case a.Known:
		outcome = "refused"
	}
	g.set.GetOrCreateCounter(`martenport_limit_questions_total{answer="` + outcome + `"}`).Inc()
}

// overLimit refuses a request that goes beyond the limit of its workspace. after is when it
// would be within it, 0 if never.
func (g *gate) overLimit(w *serving.Workspace, cost float64, after time.Duration) *verdict.Failure {
	g.shares.Refused(w.Name, cost, clock.Now())
	failure := verdict.Refuse(verdict.ReasonOverLimit, "workspace %s asks for more than its limit", w.Name)
	if after <= 0 {
		return failure
	}
	return failure.After(max(leastOverRetry, after))
}

// limits asks the holder what it knows of the limits of workspaces.
func (f *follower) limits(ctx context.Context) ([]quota.Total, error) {
	f.mu.Lock()
	record := f.record
	f.mu.Unlock()
	var reply LimitsReply
	err := f.call(ctx, record, wantTimeout, methodLimits, &LimitsArgs{}, &reply)
	if err == nil && !reply.Held {
		err = errors.New("entry: the instance is not the holder")
	}
	return reply.Totals, err
}

// draw asks the holder for one request.
func (f *follower) draw(ctx context.Context, workspace string, cost float64) (quota.Answer, error) {
	var reply DrawReply
	err := f.callInTime(ctx, methodDraw, &DrawArgs{Workspace: workspace, Cost: cost}, &reply)
	return reply.Answer, err
}

// callInTime asks the holder a question whose answer counts only within drawTimeout.
func (f *follower) callInTime(ctx context.Context, method string, args, reply any) error {
	record, live := f.liveHolder()
	if !live {
		return errors.New("entry: no holder can be reached")
	}
	asked := clock.Exact()
	err := f.call(ctx, record, drawTimeout, method, args, reply)
	if took := clock.Exact().Sub(asked); err == nil && took > drawTimeout {
		return errors.Newf("entry: the answer took %s", took) // timers stand still while the machine is suspended
	}
	return err
}
