package entry

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/rpcpool"
	"github.com/martenport/martenport/serving"
)

// lateConn delays everything that is written.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c lateConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// originPair is an instance, and another one that keeps origins for it.
type originPair struct {
	asking, keeping *streamOrigins
	dialed          atomic.Int64
}

// newOriginPair returns two instances that are certain of two versions. The answers on the n-th connection are late by
// delays[n], and those on later ones come at once.
func newOriginPair(t *testing.T, delays ...time.Duration) *originPair {
	newInstance := func() *streamOrigins {
		dir, marks := directory.New(), &versionMarks{serversAge: func(time.Time) time.Duration { return time.Hour }}
		for _, v := range []string{"v1", "v2"} {
			dir.ApplyServer(serving.Server{ID: v, Service: "s", Version: v, Revision: 1}, clock.Now())
		}
		until := clock.Now().Add(time.Hour)
		marks.certainUntil.Store(&until)
		return newTestOrigins(dir, marks)
	}
	p := &originPair{asking: newInstance(), keeping: newInstance()}
	server := rpc.NewServer()
	if err := server.RegisterName("Entry", &service{follower: &follower{}, origins: p.keeping}); err != nil {
		t.Fatal(err)
	}
	p.asking.members = &members{self: member{Name: "asking"}, known: []member{{Name: "keeping", Address: "keeping"}}, readAt: clock.Now()}
	p.asking.pool = rpcpool.New(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		late := lateConn{Conn: far}
		if n := int(p.dialed.Add(1)); n <= len(delays) {
			late.delay = delays[n-1]
		}
		go server.ServeConn(late)
		return near, nil
	})
	return p
}

// TestOriginOfSlowInstanceIsFound guards against streams that are refused since the instance that keeps their origin is late.
func TestOriginOfSlowInstanceIsFound(t *testing.T) {
	begun := skew.Entry{Attempt: "begun", Origin: skew.Origin{Service: "s", Version: "v1"}}
	for name, c := range map[string]struct {
		delays []time.Duration
		known  time.Duration // after the question
	}{
		"answers late once":   {delays: []time.Duration{originTimeout + 100*time.Millisecond}},
		"answers late twice":  {delays: []time.Duration{time.Second, time.Second}},
		"learns it meanwhile": {delays: []time.Duration{time.Second}, known: originRetryPause / 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newOriginPair(t, c.delays...)
			go func() {
				time.Sleep(c.known)
				p.keeping.keep(begun, clock.Now())
			}()
			if c.known == 0 {
				synctest.Wait()
			}
			if got := p.asking.Find(t.Context(), begun.Attempt, "s"); got.Origin != begun.Origin {
				t.Errorf("%s: %+v, want %+v", name, got, begun.Origin)
			}
			p.asking.pool.Close()
			time.Sleep(time.Minute) // the late answers end
		})
	}
}

// TestUnknownOriginIsSaidSoon guards against clients that are held for an origin that nobody knows.
func TestUnknownOriginIsSaidSoon(t *testing.T) {
	for name, c := range map[string]struct {
		delays     []time.Duration
		unanswered bool
		limit      time.Duration
		allowed    time.Duration
	}{
		"nobody knows it":      {nil, false, time.Hour, 0},
		"nobody answers":       {[]time.Duration{time.Second, time.Second, time.Second}, true, time.Hour, maxOriginQuestions * originTimeout},
		"the client has 0.2 s": {[]time.Duration{time.Second}, true, 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newOriginPair(t, c.delays...)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), c.limit)
			defer cancel()
			got := p.asking.Find(ctx, "never", "s")
			if took := time.Since(began); got.Origin.Version != "" || got.Unanswered != c.unanswered || took > c.allowed {
				t.Errorf("%s: %+v after %s, want unanswered %v within %s", name, got, took, c.unanswered, c.allowed)
			}
			p.asking.pool.Close()
			time.Sleep(time.Minute) // the late answers end
		})
	}
}

// TestPartOfAnswersTellsOneVersion guards against streams that go on at the version that some instances hold for the only one,
// while one that may know their origin has not answered, or that older builds are certain of.
func TestPartOfAnswersTellsOneVersion(t *testing.T) {
	for name, c := range map[string]struct {
		asked  askedOrigin
		listed bool // the servers since the client asked
		want   string
	}{
		"all answered":                          {askedOrigin{instances: 2, answers: 2, certain: []string{"v1", "v1"}}, false, "v1"},
		"one did not":                           {askedOrigin{instances: 2, answers: 1, certain: []string{"v1"}}, false, ""},
		"one did not, but the list is new":      {askedOrigin{instances: 2, answers: 1, certain: []string{"v1"}}, true, "v1"},
		"another is certain of another version": {askedOrigin{instances: 2, answers: 1, certain: []string{"v2"}}, true, ""},
		"another version is reported":           {askedOrigin{instances: 2, answers: 2, certain: []string{"v1"}, reported: []string{"v2"}}, true, ""},
	} {
		dir := directory.New()
		dir.ApplyServer(serving.Server{ID: "a", Service: "s", Version: "v1", Revision: 1}, clock.Now())
		marks, until := &versionMarks{}, clock.Now().Add(time.Hour)
		marks.certainUntil.Store(&until)
		if got := newTestOrigins(dir, marks).conclude(c.asked, "s", c.listed); got.OnlyVersion != c.want {
			t.Errorf("%s: %+v, want %q", name, got, c.want)
		}
	}
}
