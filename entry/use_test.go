package entry

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/holder"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// newRunsFollower returns a follower that knows the model m on engine e, whose process started at 7, by a holder with
// fencing token 5.
func newRunsFollower() *follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dir := directory.New()
	dir.ApplyServer(serving.Server{ID: "e", Service: "llm", Revision: 1, Born: 7}, time.Now())
	dir.ApplyViews(5, []directory.EngineView{{Engine: "e", Born: 7, Units: []directory.UnitView{{Unit: serving.Unit{Model: "m"}}, {Unit: serving.Unit{Model: "m", Adapter: "a"}}, {Unit: serving.Unit{Model: "n"}}}}}, nil, time.Now())
	return newFollower("i", nil, dir, nil, nil, log)
}

// offered returns whether the model m, its adapter a, and the model n are offered on an engine.
func (f *follower) offered() (offered [3]bool) {
	for i, unit := range []serving.Unit{{Model: "m"}, {Model: "m", Adapter: "a"}, {Model: "n"}} {
		offered[i] = len(f.dir.Replicas("llm", unit, time.Now())) > 0
	}
	return offered
}

// TestRunsEnd: an instance answers a query when its last request on the copy has ended, also one for an adapter, or after
// the query's wait. It sends nothing more there at once.
func TestRunsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRunsFollower()
		query := holder.RunsQuery{Fence: 5, Engine: "e", Model: "m", Born: 7, Wait: 300 * time.Millisecond}
		start := time.Now()
		if answer := f.answerRunsEnd(query); answer != (holder.RunsAnswer{}) || time.Since(start) > 0 {
			t.Errorf("%+v after %s without requests", answer, time.Since(start))
		}
		other := f.RegisterRun(forward.Run{Engine: "e", Unit: serving.Unit{Model: "n"}})
		first := f.RegisterRun(forward.Run{Engine: "e", Unit: serving.Unit{Model: "m"}})
		second := f.RegisterRun(forward.Run{Engine: "e", Unit: serving.Unit{Model: "m", Adapter: "a"}})
		time.AfterFunc(100*time.Millisecond, func() { first(true) })
		time.AfterFunc(450*time.Millisecond, func() { second(true) })
		if answer := f.answerRunsEnd(query); answer != (holder.RunsAnswer{Waited: true, Running: 1}) || time.Since(start) != query.Wait {
			t.Errorf("%+v after %s, want one request after the wait", answer, time.Since(start))
		}
		if f.offered() != [3]bool{false, false, true} {
			t.Errorf("offered: %v, want the other model alone", f.offered())
		}
		if answer := f.answerRunsEnd(query); answer != (holder.RunsAnswer{Waited: true}) || time.Since(start) != 450*time.Millisecond {
			t.Errorf("%+v after %s, want the end of the last request", answer, time.Since(start))
		}
		other(true)
		if f.runWaits.count != 0 || len(f.runWaits.ended) != 0 {
			t.Errorf("%d queries are left", f.runWaits.count)
		}
	})
}

// TestRunsEndOfOthers: a query of an earlier holder, or about an earlier process of the engine, does not keep the instance
// from sending to the engine, and a late query does so for a second only.
func TestRunsEndOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRunsFollower()
		f.answerRunsEnd(holder.RunsQuery{Fence: 4, Engine: "e", Model: "m", Born: 7})
		f.answerRunsEnd(holder.RunsQuery{Fence: 5, Engine: "e", Model: "m", Born: 6})
		f.answerRunsEnd(holder.RunsQuery{Fence: 5, Engine: "other", Model: "m"})
		if f.offered() != [3]bool{true, true, true} {
			t.Errorf("offered: %v, want all", f.offered())
		}
		for range 2 { // a duplicate changes nothing
			f.answerRunsEnd(holder.RunsQuery{Fence: 5, Engine: "e", Model: "m", Born: 7})
		}
		if f.offered() != [3]bool{false, false, true} {
			t.Errorf("offered: %v, want the other model alone", f.offered())
		}
		time.Sleep(time.Second)
		if f.offered() != [3]bool{true, true, true} {
			t.Errorf("offered: %v a second later, want all", f.offered())
		}
	})
}

// TestRunsQueriesAreBounded: with too many queries, further ones are answered at once.
func TestRunsQueriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRunsFollower()
		for i := range maxRunsQueries + 1 {
			f.RegisterRun(forward.Run{Engine: "e", Unit: serving.Unit{Model: fmt.Sprint(i)}})
		}
		for i := range maxRunsQueries {
			go f.answerRunsEnd(holder.RunsQuery{Engine: "e", Model: fmt.Sprint(i), Wait: time.Hour})
		}
		synctest.Wait()
		start := time.Now()
		if answer := f.answerRunsEnd(holder.RunsQuery{Engine: "e", Model: fmt.Sprint(maxRunsQueries), Wait: time.Hour}); answer.Running != 1 || time.Since(start) > 0 {
			t.Errorf("%+v after %s", answer, time.Since(start))
		}
		time.Sleep(maxRunsWait)
		synctest.Wait()
		if f.runWaits.count != 0 || len(f.runWaits.ended) != 0 {
			t.Errorf("%d queries are left after the longest wait", f.runWaits.count)
		}
	})
}
